package fleet

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
)

const (
	// CallersPerCustomer keeps several requests of a customer in progress at
	// once, and RoamEvery moves each to another VM now and then.
	CallersPerCustomer = 6
	RoamEvery          = 2 * time.Second
	// RequestTimeout is above the deadline of the routes, so that callers see
	// the VM's own answer.
	RequestTimeout = 12 * time.Second
)

// Callers returns callers of every customer on a service, each customer at a
// share of its rate with the given share of writes.
func (f *Fleet) Callers(seed uint64, service siskin.ServiceName, share, writes float64) load.Config {
	cfg := load.Config{
		VMs:        f.Addresses(),
		Dial:       f.Net.Dialer("client", load.ClientPlace).DialContext,
		ReadRoute:  ReadRoute,
		WriteRoute: WriteRoute,
		Timeout:    RequestTimeout,
		Seed:       seed,
	}
	for _, c := range f.Profile.Customers {
		cfg.Groups = append(cfg.Groups, load.Group{
			Customer:   c.ID,
			Key:        f.Keys[c.ID],
			Service:    service,
			Callers:    CallersPerCustomer,
			Rate:       c.Rate * siskin.RequestsPerSecond(share),
			WriteShare: writes,
			RoamEvery:  RoamEvery,
		})
	}
	return cfg
}
