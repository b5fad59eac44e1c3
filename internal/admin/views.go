package admin

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// GroupStatus is a group as operators see it.
type GroupStatus struct {
	Service siskin.ServiceName
	Term    siskin.Term
	// RecordedTerm is the term of the platform's record of the primary; zero
	// when the VM that answers does not know it.
	RecordedTerm siskin.Term
	Primary      siskin.TargetID // empty while the group has none
	Targets      []TargetStatus
}

// TargetStatus is a target as operators see it.
type TargetStatus struct {
	ID           siskin.TargetID
	Role         string
	Reachable    bool
	Leaving      bool
	ClaimedTerm  siskin.Term
	ClaimedBy    siskin.VMID
	StreamTerm   siskin.Term
	LastTerm     siskin.Term
	Received     string // log position, such as "0/16B3748"
	Applied      string
	HeardPrimary config.Duration
	// Staleness is the age of the data that reads see; missing when unknown.
	Staleness *config.Duration `json:",omitempty"`
}

func groupStatus(service siskin.ServiceName, v siskin.GroupView) GroupStatus {
	g := GroupStatus{Service: service, Term: v.Term, RecordedTerm: v.RecordTerm, Primary: v.Primary, Targets: []TargetStatus{}}
	for _, t := range v.Targets {
		s := TargetStatus{
			ID: t.Status.ID, Role: t.Status.Role.String(), Reachable: t.Reachable, Leaving: t.Status.Leaving,
			ClaimedTerm: t.Status.ClaimedTerm, ClaimedBy: t.Status.ClaimedBy,
			StreamTerm: t.Status.StreamTerm, LastTerm: t.Status.LastTerm,
			Received: t.Status.Received.String(), Applied: t.Status.Applied.String(),
			HeardPrimary: config.Duration(t.Status.HeardPrimary.Round(time.Millisecond)),
		}
		if t.Staleness >= 0 {
			d := config.Duration(t.Staleness.Round(time.Millisecond))
			s.Staleness = &d
		}
		g.Targets = append(g.Targets, s)
	}
	return g
}

// VMStatus is a VM as operators see it.
type VMStatus struct {
	ID          siskin.VMID
	Incarnation siskin.Incarnation
	DataCentre  siskin.DataCentreID
	PeerAddress string
	State       string
}

// CustomerStatus is a customer as operators see it, without digests of keys.
type CustomerStatus struct {
	ID       siskin.CustomerID
	Revision siskin.Revision
	Rate     siskin.RequestsPerSecond
	Burst    siskin.Requests
	Weight   int
	Services []siskin.ServiceName
	Keys     []KeyStatus
}

// KeyStatus is a key as operators see it.
type KeyStatus struct {
	ID        siskin.KeyID
	Withdrawn bool
}

func customerStatus(c *config.Customer) CustomerStatus {
	s := CustomerStatus{ID: c.ID, Revision: c.Revision, Rate: c.Rate, Burst: c.Burst, Weight: c.Weight, Services: c.Services, Keys: []KeyStatus{}}
	for _, k := range c.Keys {
		s.Keys = append(s.Keys, KeyStatus{k.ID, k.Withdrawn})
	}
	return s
}
