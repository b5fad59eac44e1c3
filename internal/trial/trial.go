package trial

import (
	"context"
	"fmt"
	"time"

	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/pkg/config"
)

// startTimeout bounds the start of the deployment; the whole trial is to end
// within 30 s.
const startTimeout = 10 * time.Second

// maxGap is the bound of the write gap of a failover.
const maxGap = 7 * time.Second

// Run runs a trial.
func Run(ctx context.Context, o Options) (*Report, error) {
	progress := o.Progress
	if progress == nil {
		progress = func(string) {}
	}
	broken := fleet.CollectViolations()
	defer broken.Restore()

	progress(fmt.Sprintf("starting %d VMs and %d targets", o.Profile.VMs, o.Profile.TargetsPerService))
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, o.Profile)
	if err != nil {
		return nil, err
	}
	defer f.Close()

	// Each customer sends 40% of its rate, 30% of it writes.
	run := load.NewRun(f.Callers(o.Seed, o.Profile.Services[0], 0.4, 0.3), o.Duration)
	fault := o.Duration * 2 / 5
	timer := time.AfterFunc(fault, func() {
		progress("the primary fails")
		f.Groups[o.Profile.Services[0]][0].SetPaused(true)
	})
	defer timer.Stop()
	progress(fmt.Sprintf("running callers for %v", o.Duration))
	run.Do(ctx)
	return judge(f, run, o, fault, broken.List()), nil
}

func judge(f *fleet.Fleet, run *load.Run, o Options, fault time.Duration, broken []string) *Report {
	service := o.Profile.Services[0]
	events := run.Recorder.Events()
	verdict := load.Judge(&run.Recorder, f.Table(service))
	all := load.LatenciesOf(events, func(*load.Event) bool { return true })
	r := &Report{
		Seed:               o.Seed,
		Duration:           config.Duration(o.Duration),
		VMs:                len(f.VMs),
		Targets:            len(f.Groups[service]),
		AcknowledgedWrites: verdict.AcknowledgedWrites,
		LostWrites:         verdict.LostWrites,
		Outcomes:           make(map[load.Outcome]int),
		P50:                config.Duration(all.P50),
		P99:                config.Duration(all.P99),
		Breaches:           append(append(verdict.Breaches, broken...), f.KeyLeaks()...),
	}
	gap, ok := load.WriteGap(events, fault)
	r.WriteGap, r.NewPrimary = config.Duration(gap), ok
	if !ok || gap >= maxGap {
		r.Breaches = append(r.Breaches, fmt.Sprintf("write gap: %v, writes went on: %v; the bound is %v", gap, ok, maxGap))
	}
	for i := range events {
		r.Outcomes[events[i].Outcome]++
	}
	for _, c := range o.Profile.Customers {
		r.judgeCustomer(events, c)
	}
	r.Reads, r.ReplicaShare = f.ReplicaShare()
	return r
}

func (r *Report) judgeCustomer(events []load.Event, c load.Customer) {
	var own []load.Event
	for i := range events {
		if events[i].Customer == c.ID {
			own = append(own, events[i])
		}
	}
	refused, _ := load.RefusedWithinRate(own, c.Rate, c.Burst)
	r.RefusedWithinRate += refused
	if over := load.Overshoot(own, c.Rate, c.Burst); over > 0 {
		r.Breaches = append(r.Breaches, fmt.Sprintf("rate: customer %s got %.0f requests above its rate and burst", c.ID, over))
	}
}
