package relay

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// Queue bounds the running requests of a slot and shares it among customers.
type Queue interface {
	// Acquire waits for a place and returns the function that gives it back.
	Acquire(ctx context.Context, customer siskin.CustomerID, weight int, deadline time.Time) (release func(), err error)
}

// Queues finds the queue of a slot.
type Queues interface {
	Queue(target siskin.TargetID, slot siskin.Slot) Queue
}
