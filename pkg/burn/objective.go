package burn

import "time"

// Objectives are the service-level objectives of a service.
type Objectives struct {
	// Availability is the share of the counted transactions that succeed.
	Availability float64
	// Latency is the share of successful transactions within LatencyThreshold.
	Latency          float64
	LatencyThreshold time.Duration
	// ReplicaShare is the share of reads that replicas serve.
	ReplicaShare float64
	// WriteGap is the limit of the write gap of a failover.
	WriteGap time.Duration
}

// DefaultObjectives are the objectives of section 1.3 of the design. The design
// states no latency objective; 100 ms is well above the time of two hops between
// data centres and an acknowledgement by a replica.
var DefaultObjectives = Objectives{
	Availability: 0.999,
	Latency:      0.99, LatencyThreshold: 100 * time.Millisecond,
	ReplicaShare: 0.9,
	WriteGap:     7 * time.Second,
}

// objective is an objective for the share of good events.
type objective struct {
	name   string
	target func(Objectives) float64
	events func(*Counts) (total, bad int64)
}

var objectives = []objective{
	{
		"Availability",
		func(o Objectives) float64 { return o.Availability },
		func(c *Counts) (int64, int64) { return c.Total(), c.Bad() },
	},
	{
		"Latency",
		func(o Objectives) float64 { return o.Latency },
		func(c *Counts) (int64, int64) { return c.Done, c.Slow },
	},
	{
		"ReplicaShare",
		func(o Objectives) float64 { return o.ReplicaShare },
		func(c *Counts) (int64, int64) { return c.Reads, c.Reads - c.ByReplica },
	},
}

// alertRule alerts when the burn rates of two windows both reach rate. The long
// window shows that the loss is significant, the short window that it is still
// in progress.
type alertRule struct {
	severity    Severity
	short, long int // indexes in Windows
	rate        float64
}

// alertRules use the customary burn rates: 14.4 spends 2% of a 30-day budget in
// an hour, 6 spends 5% in six hours, 1 spends 10% in three days.
var alertRules = []alertRule{
	{Fast, 0, 2, 14.4},
	{Medium, 1, 3, 6},
	{Slow, 3, 4, 1},
}
