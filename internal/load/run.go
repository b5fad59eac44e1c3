package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Run is one run of callers.
type Run struct {
	Recorder Recorder

	cfg      Config
	start    time.Time
	duration time.Duration
}

// NewRun prepares a run of the given duration.
func NewRun(cfg Config, duration time.Duration) *Run {
	return &Run{cfg: cfg, duration: duration}
}

// Do runs all callers and waits for them.
func (r *Run) Do(ctx context.Context) {
	r.start = time.Now()
	var wg sync.WaitGroup
	number := 0
	for g := range r.cfg.Groups {
		group := &r.cfg.Groups[g]
		for range group.Callers {
			random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(number)))
			c := &caller{
				number: number,
				run:    r,
				group:  group,
				random: random,
				vm:     random.IntN(len(r.cfg.VMs)),
			}
			wg.Go(func() { c.loop(ctx) })
			number++
		}
	}
	wg.Wait()
}

// elapsed returns the time since the start of the run.
func (r *Run) elapsed() time.Duration { return time.Since(r.start) }

// sleepUntil reports whether the time came before the context ended.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
