package sysd

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

const (
	// coldRateShare is the part of the allowed rate that is admitted to cold
	// targets. Tokens taken in advance are valid for 0.25 s, and a proof
	// before the statement takes up to 0.3 s, so 1.55 times the rate may
	// arrive in one second.
	coldRateShare = 0.6
	// coldSlackReserve is the number of statements subtracted from the slack,
	// for two that arrive closer together than they were sent.
	coldSlackReserve = 1
)

// coldRateID returns the customer ID under which the rate of the cold targets
// of a service is shared. It contains a blank, which no customer name on the
// wire can.
func coldRateID(name siskin.ServiceName) siskin.CustomerID {
	return siskin.CustomerID("cold targets of " + name)
}

// addColdRates adds a rate for the cold targets of each service to a
// configuration. The rate is shared across the fleet like those of customers,
// since several VMs can each consider themselves the home of a target, and the
// statements of all of them count together.
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

// coldDuration returns how long targets of a service are cold after their
// start, or zero if they are never cold.
func (n *node) coldDuration(name siskin.ServiceName) time.Duration {
	if s, ok := n.table.Snapshot().Service(name); ok {
		return s.ColdDuration
	}
	return 0
}

// mayBeCold reports whether a target may be cold, given when this VM opened
// its connection and when the target last failed at another VM.
func (n *node) mayBeCold(t siskin.TargetInfo, opened, failed time.Time) bool {
	return n.coldDuration(t.Service) > 0 && n.roster.MayBeCold(t.ID, opened, failed, n.clock.Now())
}

// admitCold admits a statement under the rate for the cold targets of a
// service.
func (n *node) admitCold(ctx context.Context, name siskin.ServiceName) siskin.Admission {
	return n.rates.AdmitWait(ctx, coldRateID(name), 1)
}
