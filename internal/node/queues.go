package node

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/fairq"
	"siskintray.example/siskin/pkg/shard"
)

// queues holds one fair queue per owned slot. Its capacity is the number of
// connections of the slot.
type queues struct {
	clock  siskin.Clock
	queues *shard.Map[pool.Key, *slotQueue]
}

type slotQueue struct {
	capacity int
	queue    *fairq.Queue
}

func newQueues(clock siskin.Clock) *queues {
	return &queues{clock: clock, queues: shard.New[pool.Key, *slotQueue]()}
}

// set creates the queue of a slot, or keeps it if its capacity is unchanged.
// After a change of capacity, requests in the old queue finish there; the pool
// bounds the connections of both.
func (q *queues) set(key pool.Key, capacity int) {
	q.queues.Update(key, func(old *slotQueue, ok bool) (*slotQueue, bool) {
		if ok && old.capacity == capacity {
			return old, true
		}
		return &slotQueue{capacity: capacity, queue: fairq.New(q.clock, capacity)}, true
	})
}

func (q *queues) drop(key pool.Key) { q.queues.Delete(key) }

// Queue implements relay.Queues.
func (q *queues) Queue(target siskin.TargetID, slot siskin.Slot) relay.Queue {
	s, ok := q.queues.Get(pool.Key{Target: target, Slot: slot})
	if !ok {
		return notOwned{target: target, slot: slot}
	}
	return s
}

// Acquire implements relay.Queue.
func (s *slotQueue) Acquire(ctx context.Context, customer siskin.CustomerID, weight int, deadline time.Time) (func(), error) {
	grant, err := s.queue.Acquire(ctx, customer, weight, deadline)
	if err != nil {
		return nil, err
	}
	return grant.Release, nil
}
