package home

import "siskintray.example/siskin"

// connWaiter is a request that waits for a connection.
type connWaiter struct {
	customer siskin.CustomerID
	class    siskin.PriorityClass
	arrival  uint64 // order of arrival
	// passed counts the later arrivals that were served before it.
	passed int
	ready  chan struct{} // capacity 1; signaled when the request no longer waits

	// One of these is set when it no longer waits.
	conn *conn
	open bool // it may open a connection
	err  error
}

func newConnWaiter(customer siskin.CustomerID, class siskin.PriorityClass) *connWaiter {
	return &connWaiter{customer: customer, class: class, ready: make(chan struct{}, 1)}
}
