package config

import "siskintray.example/siskin"

// Target is one target of a service's group.
type Target struct {
	ID         siskin.TargetID
	DataCentre siskin.DataCentreID
	// Address is the IP number and port of the PostgreSQL listener.
	Address string
}
