package sysd

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

const (
	// coldRateShare is the part of the allowed rate that cold targets get. Tokens taken
	// ahead live for 0.25 s and a proof before the statement takes up to 0.3 s, so a
	// second may see 1.55 times the rate.
	coldRateShare = 0.6
	// coldSlackReserve is the number of statements kept back of the slack, for two that
	// arrive closer together than they were sent.
	coldSlackReserve = 1
)

// coldRateID names the rate that the cold targets of a service share, among those of
// customers. It holds a blank, which no customer's name can on the wire.
func coldRateID(name siskin.ServiceName) siskin.CustomerID {
	return siskin.CustomerID("cold targets of " + name)
}

// addColdRates adds a rate for the cold targets of each service to a configuration.
// It is shared across the fleet like those of customers: each VM that reaches a
// target may take itself for its home, and all count together.
func addColdRates(d *siskin.Deployment, excess, slack float64) {
	if excess == 0 && slack == 0 {
		return
	}
	for _, s := range d.Services {
		if s.ColdDuration <= 0 {
			continue
		}
		d.Customers = append(d.Customers, siskin.CustomerSpec{
			ID: coldRateID(s.Name), Rate: siskin.RequestsPerSecond(coldRateShare * excess * float64(s.ColdRate)),
			Burst: siskin.Requests(max(1, slack-coldSlackReserve)),
		})
	}
}

// coldDuration returns the time for which targets of a service stay cold after their
// start, zero when they are never cold.
func (n *node) coldDuration(name siskin.ServiceName) time.Duration {
	if s, ok := n.table.Snapshot().Service(name); ok {
		return s.ColdDuration
	}
	return 0
}

// mayBeCold reports whether a target may be cold that this VM uses since the time
// opened and that failed last at another one.
func (n *node) mayBeCold(t siskin.TargetInfo, opened, failed time.Time) bool {
	return n.coldDuration(t.Service) > 0 && n.roster.MayBeCold(t.ID, opened, failed, n.clock.Now())
}

// admitCold takes a statement from the rate of the cold targets of a service.
func (n *node) admitCold(ctx context.Context, name siskin.ServiceName) siskin.Admission {
	return n.rates.AdmitWait(ctx, coldRateID(name), 1)
}
