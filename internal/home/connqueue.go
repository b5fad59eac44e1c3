package home

import (
	"cmp"
	"slices"

	"siskintray.example/siskin"
)

// maxConnPasses bounds the later arrivals that are served before a request that
// waits for a connection.
const maxConnPasses = 8

// connQueue decides in which order requests get connections to a target, and
// how many of these are opened at a time. It is not safe for concurrent use.
type connQueue struct {
	waiting  []*connWaiter // in order of arrival
	arrivals uint64
	// held counts the connections in use, and those being opened, by customer.
	held map[siskin.CustomerID]int
	// opening counts the connections being opened by class.
	opening [siskin.PriorityClasses]int
}

// add appends a request.
func (q *connQueue) add(w *connWaiter) {
	q.arrivals++
	w.arrival = q.arrivals
	q.waiting = append(q.waiting, w)
}

// readd puts back a request whose connection was refused, in its former place.
func (q *connQueue) readd(w *connWaiter) {
	w.open = false
	i, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *connWaiter) int { return int(a.arrival) - int(b.arrival) })
	q.waiting = slices.Insert(q.waiting, i, w)
}

// ordered returns the waiting requests in the order in which they are served.
func (q *connQueue) ordered() []*connWaiter {
	list := slices.Clone(q.waiting)
	slices.SortStableFunc(list, q.compare)
	return list
}

// compare orders two requests: those that were passed over often enough come
// first, then those of customers that hold fewer connections, then by class, so
// that a customer gains nothing by calling all its requests urgent. Equal ones
// stay in order of arrival.
func (q *connQueue) compare(a, b *connWaiter) int {
	aDue, bDue := a.passed >= maxConnPasses, b.passed >= maxConnPasses
	switch {
	case aDue && bDue:
		return 0
	case aDue:
		return -1
	case bDue:
		return 1
	}
	return cmp.Or(cmp.Compare(q.held[a.customer], q.held[b.customer]), cmp.Compare(a.class, b.class))
}

// remove takes a request out of the queue. The result is false if it no longer
// waits.
func (q *connQueue) remove(w *connWaiter) bool {
	i := slices.Index(q.waiting, w)
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	return i >= 0
}

// serve removes a request that gets a connection, and counts those that it
// passes over.
func (q *connQueue) serve(w *connWaiter) {
	for _, o := range q.waiting {
		if o.arrival < w.arrival {
			o.passed++
		}
	}
	q.remove(w)
	q.hold(w.customer)
}

// mayOpen reports whether another connection may be opened at a target with the
// given number of slots, of which each opening takes one. Without different
// classes, the order matters only when more requests wait than there are slots.
func (q *connQueue) mayOpen(slots int) bool {
	opening, classes := 0, [siskin.PriorityClasses]bool{}
	for class, n := range q.opening {
		opening += n
		classes[class] = n > 0
	}
	if opening < max(slots, 1) {
		return true
	}
	for _, w := range q.waiting {
		classes[w.class] = true
	}
	distinct := 0
	for _, used := range classes {
		if used {
			distinct++
		}
	}
	return distinct < 2 && len(q.waiting) <= slots
}

// hold records that a customer uses one more connection.
func (q *connQueue) hold(customer siskin.CustomerID) {
	if q.held == nil {
		q.held = make(map[siskin.CustomerID]int)
	}
	q.held[customer]++
}

// release records that a customer uses one connection less.
func (q *connQueue) release(customer siskin.CustomerID) {
	if q.held[customer]--; q.held[customer] <= 0 {
		delete(q.held, customer)
	}
}
