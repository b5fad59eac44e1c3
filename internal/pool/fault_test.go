package pool

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin/pkg/invar"
)

// TestFaultOfWorker guards against a panic in an opening or a probe that is not
// reported, and after which the slot opens no connections or keeps one that is
// never used again.
func TestFaultOfWorker(t *testing.T) {
	var faults atomic.Int64
	defer invar.OnViolation(func(_, detail string) {
		if strings.Contains(detail, "a fault on purpose") {
			faults.Add(1)
		}
	})()
	f := newFixture(t, 4)
	f.get(t, Full, 1).Recycle(1)
	f.awaitOpened(t)
	idle := f.Stats()[key].Idle
	f.dialer.panics.Store(true)
	// The probes panic and close the idle connections, and more openings fail
	// than may be in progress at a time.
	for start := time.Now(); faults.Load() < int64(idle+2*maxOpening); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatalf("got %d panics reported, want one for each probe and opening: %+v", faults.Load(), f.Stats()[key])
		}
	}
	f.dialer.panics.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for {
		c, err := f.Get(ctx, key, Full, 2)
		if err == nil {
			c.Recycle(2)
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("after the fault: got %v and %+v, want a connection", err, f.Stats()[key])
		}
		time.Sleep(10 * time.Millisecond)
	}
}
