package fairq

import "siskintray.example/siskin"

// maxPasses bounds the starts of more urgent requests of a customer between two
// starts of a class in which requests wait.
const maxPasses = 8

// flowClass holds the waiting requests of one class of a flow.
type flowClass struct {
	ticketList
	// passed counts the starts of more urgent requests since the class last
	// started one. It is zero while none waits.
	passed int
	// denied is set since a request of the class found the queue full or was
	// displaced, until one starts. deniedPasses counts the starts of more urgent
	// requests meanwhile.
	denied       bool
	deniedPasses int
}

// protected reports whether the class has been denied a place for so long that
// it keeps one.
func (q *flowClass) protected() bool { return q.denied && q.deniedPasses >= maxPasses }

// nextClass returns the class of the request that starts next. The flow has
// waiting requests. Of several classes at the bound, the least urgent starts
// first, since its start passes over no other one.
func (f *flow) nextClass() siskin.PriorityClass {
	for c := siskin.LeastUrgent; c > 0; c-- {
		if f.classes[c].passed >= maxPasses {
			return c
		}
	}
	for c := range f.classes {
		if f.classes[c].n > 0 {
			return siskin.PriorityClass(c)
		}
	}
	return siskin.LeastUrgent
}

// nextTicket returns the request that starts next.
func (f *flow) nextTicket() *ticket { return f.classes[f.nextClass()].head }

// countPasses records the start of a request of the class.
func (f *flow) countPasses(class siskin.PriorityClass) {
	own := &f.classes[class]
	own.passed, own.denied, own.deniedPasses = 0, false, 0
	for c := class + 1; c < siskin.PriorityClasses; c++ {
		q := &f.classes[c]
		if q.n > 0 {
			q.passed++
		}
		if q.denied {
			q.deniedPasses = min(q.deniedPasses+1, maxPasses)
		}
	}
}

// ahead returns the number of waiting requests that start before a new one of
// the class: those of the same and of more urgent classes, and the less urgent
// ones that reach the bound of passes meanwhile.
func (f *flow) ahead(class siskin.PriorityClass) int {
	n := 0
	for c := range f.classes {
		q := &f.classes[c]
		if c <= int(class) {
			n += q.n
		} else {
			n += min(q.n, (q.passed+n)/maxPasses)
		}
	}
	return n
}

// victim returns the waiting request that a new one of the class displaces from a
// full queue, or nil: the newest of the least urgent class that is not
// protected, or, for a class that is protected and has no place, the newest of
// the class with most places.
func (f *flow) victim(class siskin.PriorityClass) *ticket {
	for c := siskin.LeastUrgent; c > class; c-- {
		if q := &f.classes[c]; q.n > 0 && !q.protected() {
			return q.tail
		}
	}
	if own := &f.classes[class]; own.n > 0 || !own.protected() {
		return nil
	}
	most := &f.classes[0]
	for c := range f.classes {
		if f.classes[c].n > most.n {
			most = &f.classes[c]
		}
	}
	return most.tail
}
