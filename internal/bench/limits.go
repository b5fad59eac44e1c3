package bench

import (
	"context"
	"fmt"

	"siskintray.example/siskin/internal/load"
)

// maxRefusedWithinRate is the stated share in a healthy fleet.
const maxRefusedWithinRate = 0.001

// limitShares are the loads of the phases, in parts of the customers' rates.
var limitShares = []float64{0.8, 3}

// runLimits measures refusals within rate and overshoot, below the rate and at
// three times the rate.
func runLimits(ctx context.Context, e *env) error {
	for _, share := range limitShares {
		e.Progress(fmt.Sprintf("load at %v times the rate", share))
		f, err := e.start(ctx, e.Profile)
		if err != nil {
			return err
		}
		service := e.Profile.Services[0]
		run := e.run(ctx, f, service, e.loadConfig(f, service, share, 0.1))
		e.limitFigures(share, run.Recorder.Events(), e.Profile.Customers)
		f.Close()
	}
	return nil
}

// limitFigures adds the refusals within rate. The bound holds below the rate.
func (e *env) limitFigures(share float64, events []load.Event, customers []load.Customer) {
	refused := refusedWithinRate(events, customers)
	name := fmt.Sprintf("refused within rate, load %v", share)
	if share < 1 {
		e.result.addBounded(name, 100*refused, 100*maxRefusedWithinRate, "%")
	} else {
		e.result.add(name, 100*refused, "%")
	}
	e.outcomes(fmt.Sprintf("load %v:", share), events)
}
