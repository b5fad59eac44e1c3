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
}

// Experiments returns all experiments by name.
func Experiments() []Experiment {
	return []Experiment{
		{"drain", "rolling restart of all VMs under load", 4 * time.Second, runDrain},
		{"failover", "write gap for each way in which a primary fails", 4 * time.Second, runFailover},
		{"fairness", "one customer at 8 times its rate beside the others", 20 * time.Second, runFairness},
		{"footprint", "control traffic, processor time and memory by fleet size", 5 * time.Second, runFootprint},
		{"limits", "rate and burst with demand that moves between VMs", 8 * time.Second, runLimits},
		{"overhead", "added latency against a direct connection", 4 * time.Second, runOverhead},
		{"replicas", "share of reads from replicas by their lag", 4 * time.Second, runReplicas},
		{"silence", "connections that go silent for good", 8 * time.Second, runSilence},
		{"spread", "time until a configuration is in force everywhere", 0, runSpread},
		{"withdrawal", "time until a withdrawn key stops on open connections", 0, runWithdrawal},
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
	Seed    uint64
	// Duration is the length of one phase of load; zero means the experiment's
	// default.
	Duration time.Duration
	// Progress is told of each step; nil means nobody.
	Progress func(text string)
}

// Run runs the experiment.
func (x Experiment) Run(ctx context.Context, o Options) (*Result, error) {
	if o.Duration == 0 {
		o.Duration = x.Duration
	}
	e := newEnv(x.Name, o)
	defer e.violations.Restore()
	if err := x.run(ctx, e); err != nil {
		return nil, err
	}
	e.result.Breaches = append(e.result.Breaches, e.violations.List()...)
	return e.result, nil
}
