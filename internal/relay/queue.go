package relay

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// Queue limits the concurrent requests of a slot and shares the slot among
// customers.
type Queue interface {
	// Acquire waits until the request may run. The caller must call release
	// when the request is done.
	Acquire(ctx context.Context, customer siskin.CustomerID, weight int, deadline time.Time) (release func(), err error)
}

// Queues returns the queue of a slot.
type Queues interface {
	Queue(target siskin.TargetID, slot siskin.Slot) Queue
}
