package bench

import (
	"context"
	"fmt"
	"time"

	"siskintray.example/siskin/internal/load"
)

// maxSilence is the stated time in which silent connections are found.
const maxSilence = 3 * time.Second

// runSilence makes the open connections to each kind of peer go silent for
// good, while new ones work.
func runSilence(ctx context.Context, e *env) error {
	p := e.Profile
	p.Services = p.Services[:1]
	f, err := e.start(ctx, p)
	if err != nil {
		return err
	}
	defer f.Close()
	service := p.Services[0]
	at := e.Duration / 4
	faults := []struct {
		name string
		at   time.Duration
		do   func() int
	}{
		{"to a replica", at, func() int { return f.Net.Silence(string(f.Groups[service][1].ID()), load.ClientPlace) }},
		{"to the primary", 2 * at, func() int { return f.Net.Silence(string(f.Groups[service][0].ID()), load.ClientPlace) }},
		{"to a VM", 3 * at, func() int { return f.Net.Silence(string(f.VMs[0].ID()), load.ClientPlace) }},
	}
	for _, fault := range faults {
		timer := time.AfterFunc(fault.at, func() {
			e.Progress(fmt.Sprintf("%d connections %s go silent", fault.do(), fault.name))
		})
		defer timer.Stop()
	}
	run := e.run(ctx, f, service, e.loadConfig(f, service, 0.3, 0.3))
	events := run.Recorder.Events()
	for _, fault := range faults {
		slowest := load.LatenciesOf(events, func(ev *load.Event) bool {
			return ev.Sent >= fault.at-time.Second && ev.Sent < fault.at+at
		}).Max
		e.result.addBounded("slowest answer, connections "+fault.name, milliseconds(slowest), milliseconds(maxSilence+time.Second), "ms")
	}
	e.outcomes("all:", events)
	return nil
}
