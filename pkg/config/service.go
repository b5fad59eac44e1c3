package config

import "siskintray.example/siskin"

// Service is the document of one service and its group of targets.
type Service struct {
	Name     siskin.ServiceName
	Revision siskin.Revision // revision that last changed the document
	Targets  []Target
	// Slots is the number of slots of each target.
	Slots int
	// ConnectionsPerSlot is the most connections open in one slot, counted
	// across the fleet.
	ConnectionsPerSlot int
	// OpenTime is how long a new target connection usually takes.
	OpenTime Duration
	// AckReplicas is the number of replicas that must confirm a write before
	// it is acknowledged.
	AckReplicas int
	// MaxUnconfirmed is the confirmation delay from which new writes are
	// refused as not run.
	MaxUnconfirmed Duration
	Routes         []Route
	Credentials    Credentials
	// KeyGrace is how long keys go on working in a VM that has no evidence
	// about withdrawals, such as in a data centre that is cut off.
	KeyGrace Duration
	// Objectives are what the burn report measures the service by; nil means
	// the defaults.
	Objectives *Objectives `json:",omitempty"`
}

// Route returns the route with the given name.
func (s *Service) Route(name siskin.RouteName) (*Route, bool) {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i], true
		}
	}
	return nil, false
}
