package fairq

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
)

func customerIDs(n int) []siskin.CustomerID {
	ids := make([]siskin.CustomerID, n)
	for i := range ids {
		ids[i] = siskin.CustomerID(fmt.Sprintf("customer-%06d", i))
	}
	return ids
}

// BenchmarkDecision measures one entry and one end of a request with n
// backlogged customers, each with a request in the queue.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			set := defaultSettings(16)
			set.maxTotal, set.maxWait = 4*n+1000, 10_000*time.Hour
			s := newSched(16, set)
			ids, now := customerIDs(n), time.Second
			ring := make([]*ticket, 0, n+17) // oldest first from index at
			at := 0
			enter := func(id siskin.CustomerID) *ticket {
				t, r := s.enter(now, id, 1, now+10_000*time.Hour)
				if t == nil {
					b.Fatal("refused: " + r.reason)
				}
				return t
			}
			for i := range n + 16 {
				ring = append(ring, enter(ids[i%n]))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += 300 * time.Microsecond
				for ring[at].state == ticketWaiting {
					at = (at + 1) % len(ring)
				}
				t := ring[at]
				select {
				case <-t.ready:
				default:
				}
				id := t.flow.id
				s.leave(now, t)
				ring[at] = enter(id)
				at = (at + 1) % len(ring)
			}
		})
	}
}

// BenchmarkAcquire measures Acquire and Release without waiting, from all
// goroutines on one queue and on one queue each.
func BenchmarkAcquire(b *testing.B) {
	clock := clockwork.NewRealClock()
	deadline := clock.Now().Add(time.Hour)
	for _, queues := range []int{1, 16} {
		b.Run(fmt.Sprint("queues=", queues), func(b *testing.B) {
			all := make([]*Queue, queues)
			for i := range all {
				all[i] = New(clock, 64)
			}
			ids := customerIDs(100)
			var worker atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				w := int(worker.Add(1))
				q := all[w%queues]
				for i := w; pb.Next(); i++ {
					g, err := q.Acquire(context.Background(), ids[i%len(ids)], 1, deadline)
					if err != nil {
						b.Fatal(err)
					}
					g.Release()
				}
			})
		})
	}
}
