package config

import "siskintray.example/siskin"

// Service is the document of one service and its group of targets.
type Service struct {
	Name     siskin.ServiceName
	Revision siskin.Revision // revision that last changed the document
	Targets  []Target
	// Slots is the number of slots of each target.
	Slots int
	// ConnectionsPerSlot is the maximum number of connections open in one slot
	// across the fleet.
	ConnectionsPerSlot int
	// OpenTime is the usual time to open a target connection.
	OpenTime Duration
	// AckReplicas is the number of replicas that must confirm a write before
	// it is acknowledged.
	AckReplicas int
	// MaxUnconfirmed is the confirmation delay from which on new writes are
	// rejected without being run.
	MaxUnconfirmed Duration
	Routes         []Route
	Credentials    Credentials
	// KeyGrace is how long a VM accepts keys without confirmation that they
	// are not withdrawn, such as in an isolated data centre.
	KeyGrace Duration
	// Objectives are the service-level objectives for the burn report; nil
	// means the defaults.
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
