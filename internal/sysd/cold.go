package sysd

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

const (
	// coldPart is the part of the allowed rate that cold targets get. Tokens taken
	// ahead live for 0.25 s and a proof before the statement takes up to 0.3 s, so a
	// second may see 1.55 times the rate.
	coldPart = 0.6
	// coldReserve is the number of statements kept back of the slack, for two that
	// arrive closer together than they were sent.
	coldReserve = 1
)

// coldRate names the rate that the cold targets of a service share, among those of
// customers. It holds a blank, which no customer's name can on the wire.
func coldRate(name siskin.ServiceName) siskin.CustomerID {
	return siskin.CustomerID("cold targets of " + name)
}

// limitCold adds a rate for the cold targets of each service to a configuration.
// It is shared across the fleet like those of customers: each VM that reaches a
// target may take itself for its home, and all count together.
func limitCold(d *siskin.Deployment, excess, slack float64) {
	if excess == 0 && slack == 0 {
		return
	}
	for _, s := range d.Services {
		if s.ColdDuration <= 0 {
			continue
		}
		d.Customers = append(d.Customers, siskin.CustomerSpec{
			ID: coldRate(s.Name), Rate: siskin.RequestsPerSecond(coldPart * excess * float64(s.ColdRate)),
			Burst: siskin.Requests(max(1, slack-coldReserve)),
		})
	}
}

// coldFor returns the time for which targets of a service stay cold after their
// start, zero when they are never cold.
func (n *node) coldFor(name siskin.ServiceName) time.Duration {
	if s, ok := n.table.Snapshot().Service(name); ok {
		return s.ColdDuration
	}
	return 0
}

// mayBeCold reports whether a target may be cold that this VM uses since the time
// opened and that failed last at another one.
func (n *node) mayBeCold(t siskin.TargetInfo, opened, failed time.Time) bool {
	return n.coldFor(t.Service) > 0 && n.roster.MayBeCold(t.ID, opened, failed, n.clock.Now())
}

// admitCold takes a statement from the rate of the cold targets of a service.
func (n *node) admitCold(ctx context.Context, name siskin.ServiceName) siskin.Admission {
	return n.rates.AdmitWait(ctx, coldRate(name), 1)
}
