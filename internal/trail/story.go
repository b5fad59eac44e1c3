package trail

import (
	"slices"
	"time"

	"siskintray.example/siskin"
)

const (
	// before and after bound the time around a request in which lines about its
	// target, service, customer and VMs may explain its result. A primary is
	// suspected after 0.7 s and changed in one to two seconds.
	before = 3 * time.Second
	after  = time.Second
	// maxContext bounds the lines of a story that are not about the request
	// itself; those nearest to its end are kept.
	maxContext = 200
)

// Timeline returns the lines about a request in the order of time, and what its VMs
// logged around it about the targets, the service and the customer that it names.
// It is empty when no line has the id.
func Timeline(lines []Line, id string) []Line {
	var own []Line
	for _, l := range lines {
		if l.RequestID == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime(own)
	about := newSubject(lines, own)
	var context []Line
	for _, l := range lines {
		if l.RequestID == "" && about.explains(&l) {
			context = append(context, l)
		}
	}
	byTime(context)
	context = context[max(0, len(context)-maxContext):]
	story := append(own, context...)
	byTime(story)
	return story
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// subject is what a request was about.
type subject struct {
	from, to  time.Time
	targets   map[siskin.TargetID]bool
	services  map[siskin.ServiceName]bool
	customers map[siskin.CustomerID]bool
	vms       map[siskin.VMID]bool
}

func newSubject(lines, own []Line) *subject {
	s := &subject{
		from: own[0].Time.Add(-before), to: own[len(own)-1].Time.Add(after),
		targets: make(map[siskin.TargetID]bool), services: make(map[siskin.ServiceName]bool),
		customers: make(map[siskin.CustomerID]bool), vms: make(map[siskin.VMID]bool),
	}
	for i := range own {
		l := &own[i]
		for _, id := range l.targets() {
			s.targets[id] = true
		}
		s.customers[l.Customer], s.services[l.Service] = true, true
		s.vms[l.VM], s.vms[l.Home] = true, true
		// The line is written at the end of the request.
		if start := l.Time.Add(-l.Took - before); start.Before(s.from) {
			s.from = start
		}
	}
	for i := range lines {
		if l := &lines[i]; l.Service != "" && s.names(l) {
			s.services[l.Service] = true
		}
	}
	delete(s.services, "")
	delete(s.customers, "")
	return s
}

// targets returns the targets that a line names.
func (l *Line) targets() []siskin.TargetID {
	return slices.DeleteFunc([]siskin.TargetID{l.Target, l.Primary, l.From, l.To}, func(id siskin.TargetID) bool { return id == "" })
}

func (s *subject) names(l *Line) bool {
	return slices.ContainsFunc(l.targets(), func(id siskin.TargetID) bool { return s.targets[id] })
}

// explains reports whether a line may explain the result of the request.
func (s *subject) explains(l *Line) bool {
	if l.Time.Before(s.from) || l.Time.After(s.to) {
		return false
	}
	if l.Service == "" && l.Customer == "" && l.Database == "" && len(l.targets()) == 0 {
		return s.vms[l.VM] // about the VM itself, such as a lost contact
	}
	return s.names(l) || s.services[l.Service] || s.customers[l.Customer]
}
