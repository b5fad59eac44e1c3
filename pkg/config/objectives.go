package config

import "time"

// Objectives are the service-level objectives of a service. A zero field means
// the default of package burn.
type Objectives struct {
	// Availability is the share of counted transactions that are answered.
	Availability float64 `json:",omitempty"`
	// Latency is the share of answered transactions within LatencyThreshold.
	Latency          float64  `json:",omitempty"`
	LatencyThreshold Duration `json:",omitempty"`
	// ReplicaShare is the share of reads that replicas serve.
	ReplicaShare float64 `json:",omitempty"`
	// WriteGap is the longest write gap of a failover.
	WriteGap Duration `json:",omitempty"`
}

// maxShare keeps the error budget above zero, since burn rates are divided by it.
const maxShare = 0.999999

func checkObjectives(r *report, o *Objectives) {
	if o == nil {
		return
	}
	checkAmount(r, "Objectives/Availability", o.Availability, 0, maxShare)
	checkAmount(r, "Objectives/Latency", o.Latency, 0, maxShare)
	checkAmount(r, "Objectives/ReplicaShare", o.ReplicaShare, 0, maxShare)
	checkDuration(r, "Objectives/LatencyThreshold", o.LatencyThreshold, 0, MaxDeadline)
	checkDuration(r, "Objectives/WriteGap", o.WriteGap, 0, 10*time.Minute)
}
