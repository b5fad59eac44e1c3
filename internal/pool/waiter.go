package pool

import "time"

// waiter is a request that waits for a connection of a slot.
type waiter struct {
	account   Account
	owner     uint64
	arrivedAt time.Time
	ready     chan result // buffered, receives exactly one result
}

type result struct {
	conn *Conn
	err  error
}
