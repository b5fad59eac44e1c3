package bench

import (
	"context"
	"fmt"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/pkg/config"
)

// startTimeout bounds the start of a deployment.
const startTimeout = 20 * time.Second

// env is what an experiment works with.
type env struct {
	Options
	result     *Result
	violations *fleet.Violations
}

func newEnv(name string, o Options) *env {
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	profile := o.Profile.Name
	if o.Live != nil {
		profile = "none, running VMs"
	}
	return &env{
		Options:    o,
		result:     &Result{Experiment: name, Profile: profile, Seed: o.Seed, Duration: config.Duration(o.Duration)},
		violations: fleet.CollectViolations(),
	}
}

func (e *env) start(ctx context.Context, p load.Profile, opts ...fleet.Option) (*fleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return fleet.Start(ctx, p, opts...)
}

// loadConfig returns callers of every customer on a service, at a share of the
// customer's rate.
func (e *env) loadConfig(f *fleet.Fleet, service siskin.ServiceName, share, writes float64) load.Config {
	return f.Callers(e.Seed, service, share, writes)
}

// run drives the callers for the duration and adds the breaches they saw.
func (e *env) run(ctx context.Context, f *fleet.Fleet, service siskin.ServiceName, cfg load.Config) *load.Run {
	run := load.NewRun(cfg, e.Duration)
	run.Do(ctx)
	verdict := load.Judge(&run.Recorder, f.Table(service))
	e.result.Breaches = append(e.result.Breaches, verdict.Breaches...)
	e.result.Breaches = append(e.result.Breaches, f.KeyLeaks()...)
	e.overshoot(run.Recorder.Events(), f.Profile.Customers)
	return run
}

func eventsOf(events []load.Event, customer siskin.CustomerID) []load.Event {
	var own []load.Event
	for i := range events {
		if events[i].Customer == customer {
			own = append(own, events[i])
		}
	}
	return own
}

// outcomes adds the number of events of each outcome.
func (e *env) outcomes(prefix string, events []load.Event) {
	counts := make(map[load.Outcome]int)
	for i := range events {
		counts[events[i].Outcome]++
	}
	for _, o := range sortedOutcomes(counts) {
		e.result.add(fmt.Sprintf("%s %s", prefix, o), float64(counts[o]), "requests")
	}
}
