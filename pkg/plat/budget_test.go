package plat

import (
	"fmt"
	"testing"
	"time"

	"siskintray.example/siskin"
)

// TestWriteBudget guards against updates that exceed their own budget or use up
// that of reads, and against a budget that a change does not put in force.
func TestWriteBudget(t *testing.T) {
	s, c := startClient(t, Config{CallsPerSecond: 20, WritesPerSecond: 5, Burst: 3})
	for i, tt := range []struct{ reads, writes float64 }{{20, 5}, {60, 40}} {
		c.SetBudget(tt.reads, tt.writes)
		if reads, writes := c.Budget(); reads != tt.reads || writes != tt.writes {
			t.Errorf("got a budget of %v and %v, want %v and %v", reads, writes, tt.reads, tt.writes)
		}
		count := func(call func(n int) error) int64 {
			before := s.Stats().Total()
			ctx := timeoutContext(t, 500*time.Millisecond)
			for n := 0; ctx.Err() == nil; n++ {
				_ = call(n) // a call above the budget fails at the deadline
			}
			return s.Stats().Total() - before
		}
		ctx := timeoutContext(t, 5*time.Second)
		puts := count(func(n int) error {
			ctx := timeoutContext(t, 500*time.Millisecond)
			_, err := c.Put(ctx, siskin.ObjectName(fmt.Sprintf("A%d-%d", i, n)), nil, 0, siskin.OperationID(fmt.Sprint("op-", i, n)))
			return err
		})
		// The burst, the rate over 0.5 s and the calls that end up to 0.5 s
		// later, since each has its own deadline.
		if most, least := int64(3+tt.writes+1), int64(tt.writes/2); puts > most || puts < least {
			t.Errorf("updates at %v a second: got %d, want %d to %d", tt.writes, puts, least, most)
		}
		begun := time.Now()
		if _, err := c.Get(ctx, "A"); err != nil || time.Since(begun) > 250*time.Millisecond {
			t.Errorf("read after updates used up their budget: got %v after %v, want an answer at once", err, time.Since(begun))
		}
	}
}
