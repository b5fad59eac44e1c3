package entry

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// rateWaitDivisor divides the latency objective to give the time that a request
// can wait for a token of its customer's rate. The rest is for the target.
const rateWaitDivisor = 2

// admitWithinRate admits the operation within the rate of its customer. Rates
// count operations: a transaction counts once, with its first statement.
func (o *operation) admitWithinRate() siskin.Admission {
	limiter, objective := o.s.e.cfg.Limiter, o.route.LatencyObjective
	if !o.s.e.cfg.Table.Snapshot().Prioritized {
		return admitWait(limiter, o.customer, objective/waitDivisor)
	}
	wait := min(objective, o.budget()) / rateWaitDivisor
	ctx, cancel := context.WithTimeout(context.Background(), wait+objective/waitDivisor)
	defer cancel()
	return limiter.AdmitClass(ctx, siskin.AdmissionRequest{Customer: o.customer, Class: o.route.Class, Wait: wait, Useful: o.budget()})
}

func admitWait(limiter Limiter, customer siskin.CustomerID, timeout time.Duration) siskin.Admission {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return limiter.AdmitWait(ctx, customer, 1)
}
