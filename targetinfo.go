package siskin

import "time"

// TargetInfo is the service discovery entry of one target.
type TargetInfo struct {
	ID         TargetID
	Service    ServiceName
	Address    string
	DataCentre DataCentreID
	Slots      int
	Draining   bool
	// Evacuated is true if the operator requested that no more traffic be sent to
	// the target's data centre. Each VM derives it from the evacuations known to
	// it.
	Evacuated bool `json:"-"`
	// Primary is true if the target reports itself as a primary.
	Primary bool
	// ColdRemaining is the time for which the target stays slow because it
	// started recently; see ServiceSpec.ColdDuration.
	ColdRemaining time.Duration `json:"Warming"`
	// StartedAt is the time of the target's last start. A restart discards the
	// target's log and its pauses.
	StartedAt time.Time `json:"Born"`
}
