package siskin

// PriorityClass is the urgency of a request. Class 0 is the most urgent one.
type PriorityClass int

// PriorityClasses is the number of classes. It is small because each queue and
// each customer keeps state for each class.
const PriorityClasses = 4

// LeastUrgent is the class of the requests that are served last.
const LeastUrgent PriorityClass = PriorityClasses - 1

// Valid returns the class if there is such a class, or else the nearest one.
// Other VMs may send any number.
func (c PriorityClass) Valid() PriorityClass { return min(max(c, 0), LeastUrgent) }

// LowestPriority is the RouteSpec.Priority of a route without a stated priority.
const LowestPriority = 1<<31 - 1
