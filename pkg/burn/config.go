package burn

import (
	"cmp"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// FromConfig returns a function that returns the objectives of a service in a
// configuration. An objective that is not set, or whose service is unknown, has
// its value in DefaultObjectives.
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
