package bench

import (
	"context"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
)

// termPoll is the time between two looks at the term of a group.
const termPoll = 50 * time.Millisecond

// liveFailover measures the longest time without an acknowledged write while
// somebody else breaks the primary.
func liveFailover(ctx context.Context, e *env) error {
	customers, err := e.Live.customers(ctx)
	if err != nil {
		return err
	}
	first, err := e.Live.term(ctx)
	if err != nil {
		return err
	}
	var last atomic.Uint64
	last.Store(uint64(first))
	watch, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for watch.Err() == nil {
			if term, err := e.Live.term(watch); err == nil {
				last.Store(max(last.Load(), uint64(term)))
			}
			select {
			case <-time.After(termPoll):
			case <-watch.Done():
			}
		}
	}()
	e.Progress("break the primary of " + string(e.Live.Service) + " now")
	run, err := e.runLive(ctx, customers, e.liveConfig(customers, 0.4, 0.3))
	stop()
	<-done
	if err != nil {
		return err
	}
	changes := last.Load() - uint64(first)
	if changes == 0 {
		return siskin.NewError(siskin.Unavailable, "the primary of %s did not change within %v", e.Live.Service, e.Duration).
			WithRemedy("break the primary while the experiment runs, or run it longer with --duration")
	}
	events := run.Recorder.Events()
	gap, ok := load.WriteGap(events, 0)
	if !ok {
		e.result.breach("no two writes were acknowledged")
	}
	e.result.addBounded("longest time without an acknowledged write", milliseconds(gap), milliseconds(maxGap), "ms")
	e.result.addDuration("slowest answer", load.LatenciesOf(events, func(*load.Event) bool { return true }).Max)
	e.result.add("terms begun", float64(changes), "terms")
	e.outcomes("failover:", events)
	return nil
}
