package bench

import (
	"context"
	"fmt"
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
	return e.compareFairness(p.Customers, func(factor float64) ([]load.Event, error) {
		f, err := e.start(ctx, p)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		cfg := e.loadConfig(f, p.Services[0], fairShare, 0.2)
		makeNoisy(&cfg, p.Customers[0], factor)
		return e.run(ctx, f, p.Services[0], cfg).Recorder.Events(), nil
	})
}

// fairShare is the load of each customer, in parts of its rate.
const fairShare = 0.5

// makeNoisy sets the first customer's load to the given multiple of its rate,
// if that is above 1.
func makeNoisy(cfg *load.Config, c load.Customer, factor float64) {
	if factor <= 1 {
		return
	}
	noisy := &cfg.Groups[0]
	noisy.Rate = c.Rate * siskin.RequestsPerSecond(factor)
	noisy.Callers = 64
	noisy.Unprepared = true
}

// compareFairness runs a phase without and with a noisy first customer and
// compares what the others got.
func (e *env) compareFairness(customers []load.Customer, phase func(factor float64) ([]load.Event, error)) error {
	var got [2]map[siskin.CustomerID]served
	for i, factor := range []float64{1, noisyFactor} {
		e.Progress(fmt.Sprintf("the first customer at %v times its rate at most", factor))
		events, err := phase(factor)
		if err != nil {
			return err
		}
		got[i] = e.servedOf(customers, afterWarmUp(events), factor)
	}
	worstLoss, worstGrowth := 0.0, 0.0
	for _, c := range customers[1:] {
		b, a := got[0][c.ID], got[1][c.ID]
		e.result.addDuration("p99 of "+string(c.ID)+", alone", b.p99)
		e.result.addDuration("p99 of "+string(c.ID)+", beside the noisy one", a.p99)
		worstLoss = max(worstLoss, 1-a.share/b.share)
		worstGrowth = max(worstGrowth, float64(a.p99)/float64(b.p99)-1)
	}
	e.result.addBounded("throughput loss of the worst-served customer", 100*worstLoss, 100*maxThroughputLoss, "%")
	e.result.addBounded("p99 growth of the worst-served customer", 100*worstGrowth, 100*maxP99Growth, "%")
	return nil
}

func (e *env) servedOf(customers []load.Customer, events []load.Event, factor float64) map[siskin.CustomerID]served {
	result := make(map[siskin.CustomerID]served)
	for _, c := range customers {
		own := eventsOf(events, c.ID)
		ok := load.LatenciesOf(own, func(ev *load.Event) bool { return ev.Outcome == load.Acknowledged })
		result[c.ID] = served{share: float64(ok.Count) / float64(max(len(own), 1)), p99: ok.P99}
	}
	if factor > 1 {
		first := customers[0].ID
		e.result.add("noisy customer got, of its rate", 100*result[first].share*factor, "%")
		e.outcomes("noisy customer:", eventsOf(events, first))
	}
	return result
}
