package bench

import (
	"context"
	"fmt"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
)

// liveConfig returns callers of the given customers at a share of their rates.
func (e *env) liveConfig(customers []load.Customer, share, writes float64) load.Config {
	l := e.Live
	cfg := load.Config{
		VMs: l.Callers, TLS: l.TLS, ReadRoute: l.ReadRoute, WriteRoute: l.WriteRoute,
		Timeout: fleet.RequestTimeout, Seed: e.Seed,
		// Rows of earlier runs remain, so each run has keys of its own.
		KeyPrefix: fmt.Sprintf("bench-%x-", time.Now().UnixMilli()),
	}
	for i, c := range customers {
		cfg.Groups = append(cfg.Groups, load.Group{
			Customer: c.ID, Key: l.Keys[i].Key, Service: l.Service,
			Callers: fleet.CallersPerCustomer, Rate: c.Rate * siskin.RequestsPerSecond(share),
			WriteShare: writes, RoamEvery: fleet.RoamEvery,
		})
	}
	return cfg
}

// runLive drives the callers for the duration and adds the breaches that they
// and the VMs saw.
func (e *env) runLive(ctx context.Context, customers []load.Customer, cfg load.Config) (*load.Run, error) {
	before, _ := e.Live.violations(ctx)
	run := load.NewRun(cfg, e.Duration)
	run.Do(ctx)
	rows, err := e.Live.table(ctx)
	if err != nil {
		return nil, err
	}
	e.result.Breaches = append(e.result.Breaches, load.Judge(&run.Recorder, rows).Breaches...)
	e.overshoot(run.Recorder.Events(), customers)
	after, silent := e.Live.violations(ctx)
	for name, n := range after {
		if n > before[name] {
			e.result.breach("invariant %s: %d violations at the VMs", name, n-before[name])
		}
	}
	if silent > 0 {
		e.result.add("VMs whose invariants were not read", float64(silent), "VMs")
	}
	return run, nil
}

// overshoot adds a breach for each customer that got more than its rate and
// burst.
func (e *env) overshoot(events []load.Event, customers []load.Customer) {
	for _, c := range customers {
		if over := load.Overshoot(eventsOf(events, c.ID), c.Rate, c.Burst); over > 0 {
			e.result.breach("customer %s got %.1f requests above its rate and burst", c.ID, over)
		}
	}
}

// refill waits until the bursts of the customers are whole again, so that one
// phase does not use up what the next expects.
func refill(ctx context.Context, customers []load.Customer) {
	longest := 0.0
	for _, c := range customers {
		longest = max(longest, float64(c.Burst)/float64(c.Rate))
	}
	select {
	case <-time.After(time.Duration(longest * float64(time.Second))):
	case <-ctx.Done():
	}
}
