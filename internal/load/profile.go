package load

import (
	"fmt"
	"time"

	"siskintray.example/siskin"
)

// Profile is the deployment of one firm: its sizes and delays.
type Profile struct {
	Name        string
	DataCentres []siskin.DataCentreID
	// OneWay is the delay between data centres, ClientOneWay the delay between
	// a caller and its VM.
	OneWay, ClientOneWay time.Duration
	Services             []siskin.ServiceName
	TargetsPerService    int
	Slots                int
	ConnectionsPerSlot   int
	OpenTime             time.Duration
	VMs                  int
	Customers            []Customer
}

// Customer is one customer of a profile.
type Customer struct {
	ID     siskin.CustomerID
	Rate   siskin.RequestsPerSecond
	Burst  siskin.Requests
	Weight int
}

// Syntyma returns the profile of the badge printers.
func Syntyma() Profile {
	return Profile{
		Name:         "syntyma",
		DataCentres:  []siskin.DataCentreID{"helsinki-1", "espoo-1", "turku-1", "tampere-1"},
		OneWay:       1500 * time.Microsecond,
		ClientOneWay: time.Millisecond,
		Services:     []siskin.ServiceName{"orders", "designs", "press"},

		TargetsPerService:  3,
		Slots:              2,
		ConnectionsPerSlot: 16,
		OpenTime:           10 * time.Millisecond,
		VMs:                7,
		Customers:          customers("member", 400, 50),
	}
}

// Hartwell returns the profile of the clock keepers.
func Hartwell() Profile {
	return Profile{
		Name:         "hartwell",
		DataCentres:  []siskin.DataCentreID{"derby-1", "leicester-1", "nottingham-1", "coventry-1"},
		OneWay:       500 * time.Microsecond,
		ClientOneWay: 3 * time.Millisecond,
		Services:     []siskin.ServiceName{"windings", "surveys", "dates"},

		TargetsPerService:  3,
		Slots:              3,
		ConnectionsPerSlot: 40,
		OpenTime:           30 * time.Millisecond,
		VMs:                6,
		Customers:          customers("parish", 400, 50),
	}
}

// ProfileByName returns the profile with the given name.
func ProfileByName(name string) (Profile, error) {
	for _, p := range []Profile{Syntyma(), Hartwell()} {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, siskin.NewError(siskin.BadInput, "unknown profile %q", name).WithRemedy("use syntyma or hartwell")
}

// customers returns 8 customers of which the first 2 are large.
func customers(prefix string, large, small siskin.RequestsPerSecond) []Customer {
	list := make([]Customer, 8)
	for i := range list {
		rate, weight := small, 1
		if i < 2 {
			rate, weight = large, 4
		}
		list[i] = Customer{
			ID:     siskin.CustomerID(fmt.Sprintf("%s-%d", prefix, i+1)),
			Rate:   rate,
			Burst:  siskin.Requests(rate),
			Weight: weight,
		}
	}
	return list
}

// DataCentre returns the data centre of the VM or target with the given number.
func (p *Profile) DataCentre(i int) siskin.DataCentreID {
	return p.DataCentres[i%len(p.DataCentres)]
}

// Delay returns the one-way delay between two data centres.
func (p *Profile) Delay(from, to siskin.DataCentreID) time.Duration {
	switch {
	case from == to:
		return 0
	case from == ClientPlace || to == ClientPlace:
		return p.ClientOneWay
	default:
		return p.OneWay
	}
}

// ClientPlace stands for the place of all callers in Delay.
const ClientPlace siskin.DataCentreID = "clients"
