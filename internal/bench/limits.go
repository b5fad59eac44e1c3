package bench

import (
	"context"
	"fmt"
)

// maxRefusedWithinRate is the stated share in a healthy fleet.
const maxRefusedWithinRate = 0.001

// runLimits measures refusals within rate and overshoot, below the rate and at
// three times the rate.
func runLimits(ctx context.Context, e *env) error {
	for _, share := range []float64{0.8, 3} {
		e.Progress(fmt.Sprintf("load at %v times the rate", share))
		f, err := e.start(ctx, e.Profile)
		if err != nil {
			return err
		}
		service := e.Profile.Services[0]
		run := e.run(ctx, f, service, e.loadConfig(f, service, share, 0.1))
		events := run.Recorder.Events()
		refused := refusedWithinRate(events, e.Profile.Customers)
		name := fmt.Sprintf("refused within rate, load %v", share)
		if share < 1 {
			e.result.addBounded(name, 100*refused, 100*maxRefusedWithinRate, "%")
		} else {
			e.result.add(name, 100*refused, "%")
		}
		e.outcomes(fmt.Sprintf("load %v:", share), events)
		f.Close()
	}
	return nil
}
