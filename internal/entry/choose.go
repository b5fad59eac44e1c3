package entry

import (
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/pkg/place"
)

const (
	// primaryBias is the number of statements added to the load of the
	// primary, since it alone can run writes.
	primaryBias = 1.0
	// remoteBias is the same for targets in other data centres, since traffic
	// between data centres is charged.
	remoteBias = 0.4
	// laggingBias is the same for a replica that lacked a required minimum
	// position (floor) less than laggingWindow ago. Its last known position
	// cannot be used instead: it is older than the floor, and the replica has
	// received more since.
	laggingBias   = 3.0
	laggingWindow = 500 * time.Millisecond
	// coldBias is the same for a target that has just started.
	coldBias = 1.0
	// newConnectionBias is the same for a replica that is not the preferred
	// one for the customer's connections. Opening a connection takes as long
	// as a statement or two.
	newConnectionBias = 0.7
	// failedBias is the same for a target that failed less than failedWindow
	// ago. Such a target is used only when there is no other.
	failedBias   = 100
	failedWindow = time.Second
	// loadMaxAge is the age from which a load report is ignored. Load is
	// reported with replies, so without a limit one old report of a long queue
	// would keep all reads away from a target for good.
	loadMaxAge = 1500 * time.Millisecond
	// maxJitter is the largest random amount added to a cost, as a part of one
	// statement, so that VMs with the same data do not all choose the same
	// target.
	maxJitter = 0.2
)

// targetSelector holds the inputs for choosing the target of a read.
type targetSelector struct {
	Targets  []siskin.TargetInfo
	Primary  siskin.TargetID
	Customer siskin.CustomerID
	// ConnectionsScarce is set when there are more customers than connections
	// per target, so that a read at another target than before often opens a
	// new connection.
	ConnectionsScarce bool
	LocalDataCentre   siskin.DataCentreID
	Excluded          []siskin.TargetID
	Now               time.Time
	// View returns the known state of a target, and Running the number of
	// statements that this VM runs there.
	View    func(siskin.TargetID) views.Target
	Running func(siskin.TargetID) int
	// Random returns a number from 0 to 1.
	Random func() float64
}

// leastLoaded returns the usable target with the lowest cost, or an empty ID
// if there is none.
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

// preferred returns the replica at which the customer keeps its connections
// while connections are scarce, or an empty ID if they are not. It is chosen
// by rendezvous hashing.
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
