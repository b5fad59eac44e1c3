package trail

import (
	"slices"
	"time"

	"siskintray.example/siskin"
)

const (
	// contextBefore and after extend the time range of a request in which
	// lines about its targets, services, customer and VMs are included. A primary
	// is suspected after 0.7 s and replaced within one to two seconds.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
	// maxContext is the maximum number of lines of a timeline that do not carry
	// the request id. The latest ones are kept.
	maxContext = 200
)

// Timeline returns the lines with the given request id together with the lines
// logged around that time about its targets, services, customer and VMs, sorted by
// time. It is empty if no line has the id.
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
	sortByTime(own)
	scope := newRequestScope(lines, own)
	var context []Line
	for _, l := range lines {
		if l.RequestID == "" && scope.covers(&l) {
			context = append(context, l)
		}
	}
	sortByTime(context)
	context = context[max(0, len(context)-maxContext):]
	timeline := append(own, context...)
	sortByTime(timeline)
	return timeline
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// requestScope holds the time range, targets, services, customers and VMs of a
// request.
type requestScope struct {
	from, to  time.Time
	targets   map[siskin.TargetID]bool
	services  map[siskin.ServiceName]bool
	customers map[siskin.CustomerID]bool
	vms       map[siskin.VMID]bool
}

func newRequestScope(lines, own []Line) *requestScope {
	s := &requestScope{
		from: own[0].Time.Add(-contextBefore), to: own[len(own)-1].Time.Add(contextAfter),
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
		// The line is logged at the end of the request, so it started Took earlier.
		if start := l.Time.Add(-l.Took - contextBefore); start.Before(s.from) {
			s.from = start
		}
	}
	for i := range lines {
		if l := &lines[i]; l.Service != "" && s.namesTarget(l) {
			s.services[l.Service] = true
		}
	}
	delete(s.services, "")
	delete(s.customers, "")
	return s
}

// targets returns the ids of the targets in the fields of a line.
func (l *Line) targets() []siskin.TargetID {
	return slices.DeleteFunc([]siskin.TargetID{l.Target, l.Primary, l.From, l.To}, func(id siskin.TargetID) bool { return id == "" })
}

func (s *requestScope) namesTarget(l *Line) bool {
	return slices.ContainsFunc(l.targets(), func(id siskin.TargetID) bool { return s.targets[id] })
}

// covers reports whether a line may explain the result of the request.
func (s *requestScope) covers(l *Line) bool {
	if l.Time.Before(s.from) || l.Time.After(s.to) {
		return false
	}
	if l.Service == "" && l.Customer == "" && l.Database == "" && len(l.targets()) == 0 {
		return s.vms[l.VM] // about the VM itself, such as lost contact with another VM
	}
	return s.namesTarget(l) || s.services[l.Service] || s.customers[l.Customer]
}
