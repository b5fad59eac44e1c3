package bench

import (
	"context"
	"slices"
	"strings"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
)

// Experiment measures one property of the system.
type Experiment struct {
	Name    string
	Summary string
	// Duration is the default length of one phase of load.
	Duration time.Duration
	run      func(ctx context.Context, e *env) error
	// live measures running VMs; nil when the experiment needs to break or
	// count parts that it does not reach from outside.
	live func(ctx context.Context, e *env) error
	// liveDuration is the default with running VMs, if it differs.
	liveDuration time.Duration
}

// Experiments returns all experiments by name.
func Experiments() []Experiment {
	return []Experiment{
		{"drain", "rolling restart of all VMs under load", 4 * time.Second, runDrain, nil, 0},
		{"failover", "write gap for each way in which a primary fails", 4 * time.Second, runFailover, liveFailover, 20 * time.Second},
		{"fairness", "one customer at 8 times its rate beside the others", 20 * time.Second, runFairness, liveFairness, 0},
		{"footprint", "control traffic, processor time and memory by fleet size", 5 * time.Second, runFootprint, nil, 0},
		{"limits", "rate and burst with demand that moves between VMs", 8 * time.Second, runLimits, liveLimits, 0},
		{"overhead", "added latency against a direct connection", 4 * time.Second, runOverhead, liveOverhead, 0},
		{"replicas", "share of reads from replicas by their lag", 4 * time.Second, runReplicas, liveReplicas, 0},
		{"silence", "connections that go silent for good", 8 * time.Second, runSilence, nil, 0},
		{"spread", "time until a configuration is in force everywhere", 0, runSpread, nil, 0},
		{"withdrawal", "time until a withdrawn key stops on open connections", 0, runWithdrawal, nil, 0},
	}
}

// Find returns the experiment with the given name.
func Find(name string) (Experiment, error) {
	all := Experiments()
	i := slices.IndexFunc(all, func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		var names []string
		for _, e := range all {
			names = append(names, e.Name)
		}
		return Experiment{}, siskin.NewError(siskin.BadInput, "unknown experiment %q", name).
			WithRemedy("use one of " + strings.Join(names, ", "))
	}
	return all[i], nil
}

// Options set up one run of an experiment.
type Options struct {
	Profile load.Profile
	// Live measures running VMs in place of a deployment of the profile.
	Live *Live
	Seed uint64
	// Duration is the length of one phase of load; zero means the experiment's
	// default.
	Duration time.Duration
	// Progress is told of each step; nil means nobody.
	Progress func(text string)
}

// Run runs the experiment.
func (x Experiment) Run(ctx context.Context, o Options) (*Result, error) {
	run := x.run
	if o.Live != nil {
		if err := x.checkLive(o.Live); err != nil {
			return nil, err
		}
		run = x.live
	}
	if o.Duration == 0 {
		o.Duration = x.Duration
		if o.Live != nil && x.liveDuration > 0 {
			o.Duration = x.liveDuration
		}
	}
	e := newEnv(x.Name, o)
	defer e.violations.Restore()
	if err := run(ctx, e); err != nil {
		return nil, err
	}
	e.result.Breaches = append(e.result.Breaches, e.violations.List()...)
	return e.result, nil
}

// checkLive refuses an experiment that cannot measure running VMs.
func (x Experiment) checkLive(l *Live) error {
	if x.live != nil {
		return l.Check()
	}
	var names []string
	for _, e := range Experiments() {
		if e.live != nil {
			names = append(names, e.Name)
		}
	}
	return siskin.NewError(siskin.BadInput, "experiment %s does not run against running VMs", x.Name).
		WithRemedy("leave out --caller, or use one of " + strings.Join(names, ", "))
}
