package bench

import (
	"context"
	"fmt"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
)

// liveLimits measures refusals within rate and overshoot of running VMs.
func liveLimits(ctx context.Context, e *env) error {
	customers, err := e.Live.customers(ctx)
	if err != nil {
		return err
	}
	for _, share := range limitShares {
		e.Progress(fmt.Sprintf("load at %v times the rate", share))
		refill(ctx, customers)
		run, err := e.runLive(ctx, customers, e.liveConfig(customers, share, 0.1))
		if err != nil {
			return err
		}
		e.limitFigures(share, run.Recorder.Events(), customers)
	}
	return nil
}

// liveFairness compares the other customers with and without a noisy one, the
// first that was named.
func liveFairness(ctx context.Context, e *env) error {
	customers, err := e.Live.customers(ctx)
	if err != nil {
		return err
	}
	if len(customers) < 2 {
		return siskin.NewError(siskin.BadInput, "fairness needs two customers at least").
			WithRemedy("name a further one with --key-file")
	}
	return e.compareFairness(customers, func(factor float64) ([]load.Event, error) {
		refill(ctx, customers)
		cfg := e.liveConfig(customers, fairShare, 0.2)
		makeNoisy(&cfg, customers[0], factor)
		run, err := e.runLive(ctx, customers, cfg)
		if err != nil {
			return nil, err
		}
		return run.Recorder.Events(), nil
	})
}
