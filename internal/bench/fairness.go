package bench

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
)

// Stated bounds of what one customer at noisyFactor times its rate may cost the
// worst-served of the others.
const (
	noisyFactor       = 8
	maxThroughputLoss = 0.05
	maxP99Growth      = 0.20
)

// warmUp is left out of both phases: callers connect and pools open their first
// connections in it, which takes longer than any queue.
const warmUp = 2 * time.Second

func afterWarmUp(events []load.Event) []load.Event {
	var kept []load.Event
	for i := range events {
		if events[i].Intended >= warmUp {
			kept = append(kept, events[i])
		}
	}
	return kept
}

// served is what one customer got.
type served struct {
	share float64 // of its requests that were acknowledged
	p99   time.Duration
}

// runFairness compares the other customers with and without a noisy one.
func runFairness(ctx context.Context, e *env) error {
	p := e.Profile
	p.Services = p.Services[:1]
	e.Progress("all customers within their rate")
	before, err := e.fairnessPhase(ctx, p, 1)
	if err != nil {
		return err
	}
	e.Progress("the first customer at 8 times its rate")
	after, err := e.fairnessPhase(ctx, p, noisyFactor)
	if err != nil {
		return err
	}
	worstLoss, worstGrowth := 0.0, 0.0
	for _, c := range p.Customers[1:] {
		b, a := before[c.ID], after[c.ID]
		e.result.addDuration("p99 of "+string(c.ID)+", alone", b.p99)
		e.result.addDuration("p99 of "+string(c.ID)+", beside the noisy one", a.p99)
		worstLoss = max(worstLoss, 1-a.share/b.share)
		worstGrowth = max(worstGrowth, float64(a.p99)/float64(b.p99)-1)
	}
	e.result.addBounded("throughput loss of the worst-served customer", 100*worstLoss, 100*maxThroughputLoss, "%")
	e.result.addBounded("p99 growth of the worst-served customer", 100*worstGrowth, 100*maxP99Growth, "%")
	return nil
}

// fairnessPhase runs all customers at half their rate, the first at the given
// multiple of its rate.
func (e *env) fairnessPhase(ctx context.Context, p load.Profile, factor float64) (map[siskin.CustomerID]served, error) {
	f, err := e.start(ctx, p)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	service := p.Services[0]
	cfg := e.loadConfig(f, service, 0.5, 0.2)
	if factor > 1 {
		noisy := &cfg.Groups[0]
		noisy.Rate = p.Customers[0].Rate * siskin.RequestsPerSecond(factor)
		noisy.Callers = 64
		noisy.Unprepared = true
	}
	run := e.run(ctx, f, service, cfg)
	events := afterWarmUp(run.Recorder.Events())
	result := make(map[siskin.CustomerID]served)
	for _, c := range p.Customers {
		own := eventsOf(events, c.ID)
		ok := load.LatenciesOf(own, func(ev *load.Event) bool { return ev.Outcome == load.Acknowledged })
		result[c.ID] = served{share: float64(ok.Count) / float64(max(len(own), 1)), p99: ok.P99}
	}
	if factor > 1 {
		own := result[p.Customers[0].ID]
		e.result.add("noisy customer got, of its rate", 100*own.share*factor, "%")
		e.outcomes("noisy customer:", eventsOf(events, p.Customers[0].ID))
	}
	return result, nil
}
