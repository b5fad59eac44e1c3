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
	// laggingBias is the same for a replica that lacked a floor within laggedFor.
	// Its last known position does not tell: it is older than the floor, and the
	// replica has received more since.
	laggingBias   = 3.0
	laggingWindow = 500 * time.Millisecond
	// coldBias is the same for a target that has just started.
	coldBias = 1.0
	// newConnectionBias is the same for a replica that another replica precedes as
	// the place of the customer's connections. A new connection takes as long
	// as a statement or two.
	newConnectionBias = 0.7
	// failedBias is the same for a target that failed within avoidFailed. It is
	// used only when there is no other.
	failedBias   = 100
	failedWindow = time.Second
	// loadMaxAge is the age at which a report of a target's load no longer counts.
	// A target that nobody asks is reported by nobody, so an old queue there
	// would keep all away from it.
	loadMaxAge = 1500 * time.Millisecond
	// maxJitter is the largest part of a statement by which the choice varies, so
	// that VMs which know the same do not all choose the same target.
	maxJitter = 0.2
)

// targetSelector is what decides at which target a read runs.
type targetSelector struct {
	Targets  []siskin.TargetInfo
	Primary  siskin.TargetID
	Customer siskin.CustomerID
	// ConnectionsScarce says that the customers outnumber the connections of a
	// target, so that a statement at another target than those before often
	// costs a new connection.
	ConnectionsScarce bool
	LocalDataCentre   siskin.DataCentreID
	Excluded          []siskin.TargetID
	Now               time.Time
	// View returns what is known of a target, and Running the statements that
	// this VM has there.
	View    func(siskin.TargetID) views.Target
	Running func(siskin.TargetID) int
	// Random returns a number from 0 to 1.
	Random func() float64
}

// leastLoaded returns the least loaded leastLoaded as far as known, empty when there is
// none.
func (c *targetSelector) leastLoaded() siskin.TargetID {
	preferred := c.preferred()
	var best siskin.TargetID
	var least float64
	for i := range c.Targets {
		t := &c.Targets[i]
		if !c.usable(t) {
			continue
		}
		cost := c.cost(t)
		if preferred != "" && t.ID != preferred && t.ID != c.Primary {
			cost += newConnectionBias
		}
		if best == "" || cost < least {
			best, least = t.ID, cost
		}
	}
	return best
}

func (c *targetSelector) usable(t *siskin.TargetInfo) bool {
	return !t.Draining && !t.Evacuated && !slices.Contains(c.Excluded, t.ID)
}

// preferred returns the replica that keeps the customer's connections when they are
// scarce.
func (c *targetSelector) preferred() siskin.TargetID {
	if !c.ConnectionsScarce {
		return ""
	}
	var preferred siskin.TargetID
	var topScore uint64
	for i := range c.Targets {
		t := &c.Targets[i]
		if t.ID == c.Primary || !c.usable(t) {
			continue
		}
		if score := place.Score(string(c.Customer), t.ID); preferred == "" || score > topScore {
			preferred, topScore = t.ID, score
		}
	}
	return preferred
}

func (c *targetSelector) cost(t *siskin.TargetInfo) float64 {
	view := c.View(t.ID)
	load := float64(view.Load) * max(0, 1-float64(c.Now.Sub(view.LoadAt))/float64(loadMaxAge))
	load = max(load, float64(c.Running(t.ID)))
	cost := load/float64(max(1, t.Slots)) + maxJitter*c.Random()
	if t.ID == c.Primary {
		cost += primaryBias
	} else if !view.LaggedAt.IsZero() && c.Now.Sub(view.LaggedAt) < laggingWindow {
		cost += laggingBias
	}
	if t.DataCentre != c.LocalDataCentre {
		cost += remoteBias
	}
	if t.ColdRemaining > 0 {
		cost += coldBias
	}
	if view.Failures > 0 && c.Now.Sub(view.FailedAt) < failedWindow {
		cost += failedBias
	}
	return cost
}
