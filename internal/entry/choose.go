package entry

import (
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/pkg/place"
)

const (
	// primaryBias is the number of statements by which the primary counts as
	// more loaded than it is, since it alone can run writes.
	primaryBias = 1.0
	// remoteBias is the same for targets in other data centres, whose answers
	// cross a priced link.
	remoteBias = 0.4
	// behindBias is the same for a replica that lacked a floor within laggedFor.
	// Its last known position does not tell: it is older than the floor, and the
	// replica has received more since.
	behindBias = 3.0
	laggedFor  = 500 * time.Millisecond
	// warmingBias is the same for a target that has just started.
	warmingBias = 1.0
	// newConnBias is the same for a replica that another replica precedes as
	// the place of the customer's connections. A new connection takes as long
	// as a statement or two.
	newConnBias = 0.7
	// failedBias is the same for a target that failed within avoidFailed. It is
	// used only when there is no other.
	failedBias  = 100
	avoidFailed = time.Second
	// loadLife is the age at which a report of a target's load no longer counts.
	// A target that nobody asks is reported by nobody, so an old queue there
	// would keep all away from it.
	loadLife = 1500 * time.Millisecond
	// spread is the largest part of a statement by which the choice varies, so
	// that VMs which know the same do not all choose the same target.
	spread = 0.2
)

// choice is what decides at which target a read runs.
type choice struct {
	Targets  []siskin.TargetInfo
	Primary  siskin.TargetID
	Customer siskin.CustomerID
	// ConnsScarce says that the customers outnumber the connections of a
	// target, so that a statement at another target than those before often
	// costs a new connection.
	ConnsScarce bool
	Near        siskin.DataCentreID
	Excluded    []siskin.TargetID
	Now         time.Time
	// Seen returns what is known of a target, and Running the statements that
	// this VM has there.
	Seen    func(siskin.TargetID) views.Target
	Running func(siskin.TargetID) int
	// Random returns a number from 0 to 1.
	Random func() float64
}

// target returns the least loaded target as far as known, empty when there is
// none.
func (c *choice) target() siskin.TargetID {
	usual := c.usual()
	var best siskin.TargetID
	var least float64
	for i := range c.Targets {
		t := &c.Targets[i]
		if !c.usable(t) {
			continue
		}
		cost := c.cost(t)
		if usual != "" && t.ID != usual && t.ID != c.Primary {
			cost += newConnBias
		}
		if best == "" || cost < least {
			best, least = t.ID, cost
		}
	}
	return best
}

func (c *choice) usable(t *siskin.TargetInfo) bool {
	return !t.Draining && !t.Evacuated && !slices.Contains(c.Excluded, t.ID)
}

// usual returns the replica that keeps the customer's connections when they are
// scarce.
func (c *choice) usual() siskin.TargetID {
	if !c.ConnsScarce {
		return ""
	}
	var usual siskin.TargetID
	var top uint64
	for i := range c.Targets {
		t := &c.Targets[i]
		if t.ID == c.Primary || !c.usable(t) {
			continue
		}
		if score := place.Score(string(c.Customer), t.ID); usual == "" || score > top {
			usual, top = t.ID, score
		}
	}
	return usual
}

func (c *choice) cost(t *siskin.TargetInfo) float64 {
	seen := c.Seen(t.ID)
	load := float64(seen.Load) * max(0, 1-float64(c.Now.Sub(seen.LoadAt))/float64(loadLife))
	load = max(load, float64(c.Running(t.ID)))
	cost := load/float64(max(1, t.Slots)) + spread*c.Random()
	if t.ID == c.Primary {
		cost += primaryBias
	} else if !seen.LaggedAt.IsZero() && c.Now.Sub(seen.LaggedAt) < laggedFor {
		cost += behindBias
	}
	if t.DataCentre != c.Near {
		cost += remoteBias
	}
	if t.ColdRemaining > 0 {
		cost += warmingBias
	}
	if seen.Failures > 0 && c.Now.Sub(seen.FailedAt) < avoidFailed {
		cost += failedBias
	}
	return cost
}
