package siskin

import "time"

// TargetInfo is what service discovery says of one target.
type TargetInfo struct {
	ID         TargetID
	Service    ServiceName
	Address    string
	DataCentre DataCentreID
	Slots      int
	Draining   bool
	// Evacuated says that the operator asked to send nothing more to the target's
	// data centre. Each VM derives it from the evacuations that it knows.
	Evacuated bool `json:"-"`
	// Primary is how the target sees itself.
	Primary bool
	// ColdRemaining is how much longer the target stays slow after its start.
	ColdRemaining time.Duration `json:"Warming"`
	// StartedAt is the start of the target's present run. A target that starts
	// again forgets its log and its pauses.
	StartedAt time.Time `json:"Born"`
}
