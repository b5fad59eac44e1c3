package burn

import (
	"cmp"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// FromConfig returns a function with the objectives of each service in a
// configuration. A service that is not in it, or states none, has
// DefaultObjectives.
func FromConfig(view config.View) func(siskin.ServiceName) Objectives {
	return func(name siskin.ServiceName) Objectives {
		o := DefaultObjectives
		s, ok := view.Service(name)
		if !ok || s.Objectives == nil {
			return o
		}
		c := s.Objectives
		return Objectives{
			Availability:     cmp.Or(c.Availability, o.Availability),
			Latency:          cmp.Or(c.Latency, o.Latency),
			LatencyThreshold: cmp.Or(c.LatencyThreshold.Std(), o.LatencyThreshold),
			ReplicaShare:     cmp.Or(c.ReplicaShare, o.ReplicaShare),
			WriteGap:         cmp.Or(c.WriteGap.Std(), o.WriteGap),
		}
	}
}
