package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/internal/stand/target"
)

// maxGap is the stated bound of a change of primary.
const maxGap = 7 * time.Second

// primaryFault is one way in which a primary fails.
type primaryFault struct {
	name string
	do   func(f *fleet.Fleet, primary *target.Server)
}

var primaryFaults = []primaryFault{
	{"killed", func(_ *fleet.Fleet, p *target.Server) { _ = p.Close() }},
	{"paused", func(_ *fleet.Fleet, p *target.Server) { p.SetPaused(true) }},
	{"silent", func(_ *fleet.Fleet, p *target.Server) { p.SetSilent(true) }},
	{"cut off from replicas", func(_ *fleet.Fleet, p *target.Server) { p.CutReplication(true) }},
	{"cut off from VMs", func(f *fleet.Fleet, p *target.Server) {
		for _, vm := range f.VMs {
			f.Net.Cut(string(vm.ID()), string(p.ID()))
		}
	}},
	{"killed, platform down", func(f *fleet.Fleet, p *target.Server) {
		f.Platform.Refuse(true)
		_ = p.Close()
	}},
	{"killed, claim answers lost", func(f *fleet.Fleet, p *target.Server) {
		for _, t := range f.Groups[f.Profile.Services[0]] {
			t.LoseAnswers("siskin_claim", 1)
		}
		_ = p.Close()
	}},
}

// runFailover breaks the primary in each way and measures the write gap.
func runFailover(ctx context.Context, e *env) error {
	var gaps []time.Duration
	for i, fault := range primaryFaults {
		e.Progress(fmt.Sprintf("primary %s", fault.name))
		gap, err := e.failover(ctx, fault, e.Seed+uint64(i))
		if err != nil {
			return err
		}
		gaps = append(gaps, gap)
		e.result.addBounded("write gap, primary "+fault.name, milliseconds(gap), milliseconds(maxGap), "ms")
	}
	slices.Sort(gaps)
	e.result.addDuration("write gap, median over the faults", gaps[len(gaps)/2])
	return nil
}

func (e *env) failover(ctx context.Context, fault primaryFault, seed uint64) (time.Duration, error) {
	p := e.Profile
	p.Services = p.Services[:1]
	f, err := e.start(ctx, p)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	service := p.Services[0]
	cfg := e.loadConfig(f, service, 0.4, 0.3)
	cfg.Seed = seed
	at := e.Duration * 2 / 5
	timer := time.AfterFunc(at, func() { fault.do(f, f.Groups[service][0]) })
	defer timer.Stop()
	run := e.run(ctx, f, service, cfg)
	events := run.Recorder.Events()
	gap, ok := load.WriteGap(events, at)
	if !ok {
		e.result.breach("primary %s: no write was acknowledged afterwards", fault.name)
	}
	slowest := load.LatenciesOf(events, func(*load.Event) bool { return true }).Max
	e.result.addDuration("slowest answer, primary "+fault.name, slowest)
	return gap, nil
}
