package entry

import (
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/speed"
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
	Class    siskin.PriorityClass
	// ConnectionsScarce is set when there are more customers than connections
	// per target, so that a read at another target than before often opens a
	// new connection.
	ConnectionsScarce bool
	LocalDataCentre   siskin.DataCentreID
	Excluded          []siskin.TargetID
	// Ranking keeps the comparison of the targets of a large service. It may be
	// nil.
	Ranking *ranking
	Now     time.Time
	// View returns the known state of a target, and Running the number of
	// statements that this VM runs there.
	View    func(siskin.TargetID) views.Target
	Running func(siskin.TargetID) int
	// Random returns a number from 0 to 1.
	Random func() float64
	// Explained is set if candidates are to have notes.
	Explained bool
}

// best returns the usable target with the least expected time to the answer, or
// an empty ID if there is none. Targets whose speeds do not differ clearly are
// chosen by load alone.
func (c *targetSelector) best() siskin.TargetID {
	trialDue := c.Random() < trialShare
	if !trialDue && c.large() {
		if id := c.betterOfTwo(); id != "" {
			return id
		}
	}
	found := candidatePool.Get().(*candidates)
	defer candidatePool.Put(found)
	c.find(found)
	if len(found.list) == 0 {
		return ""
	}
	found.compare(c.Now)
	if c.large() && len(c.Excluded) == 0 {
		c.Ranking.store(found, c.Now)
	}
	if trialDue {
		if id := found.trial(); id != "" {
			return id
		}
	}
	return found.list[found.cheapest()].id
}

// large reports whether reads look at two of the targets only. Where customers
// keep to a target because connections are scarce, all are compared.
func (c *targetSelector) large() bool {
	return c.Ranking != nil && len(c.Targets) > fewTargets && !c.ConnectionsScarce
}

// find fills the list of usable targets.
func (c *targetSelector) find(found *candidates) {
	found.reset(c.Random)
	preferred := c.preferred()
	for i := range c.Targets {
		t := &c.Targets[i]
		if !c.usable(t) {
			continue
		}
		view := c.View(t.ID)
		one := c.candidate(t, &view)
		one.index = i
		if preferred != "" && t.ID != preferred && t.ID != c.Primary {
			c.add(&one, newConnectionBias, "not the replica of the customer's connections")
		}
		found.add(one, &view, speed.ReadOf(c.Class), c.Now)
	}
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

// candidate returns the parts of the cost of a target.
func (c *targetSelector) candidate(t *siskin.TargetInfo, view *views.Target) candidate {
	load := float64(view.Load) * max(0, 1-float64(c.Now.Sub(view.LoadAt))/float64(loadMaxAge))
	load = max(load, float64(c.Running(t.ID)))
	one := candidate{id: t.ID, load: load / float64(max(1, t.Slots)), bias: maxJitter * c.Random(), busy: load > 0.5}
	if t.ID == c.Primary {
		c.add(&one, primaryBias, "primary")
	} else if !view.LaggedAt.IsZero() && c.Now.Sub(view.LaggedAt) < laggingWindow {
		c.add(&one, laggingBias, "lagged a moment ago")
		one.blocked = true
	}
	if t.DataCentre != c.LocalDataCentre {
		c.add(&one, remoteBias, "in another data centre")
	}
	if t.ColdRemaining > 0 {
		c.add(&one, coldBias, "cold")
	}
	if view.Failures > 0 && c.Now.Sub(view.FailedAt) < failedWindow {
		c.add(&one, failedBias, "failed a moment ago")
		one.blocked = true
	}
	if one.failing = view.Speed.Failures.Failing(c.Now); one.failing {
		c.add(&one, failingBias, "fails statements")
	}
	return one
}

// add adds a bias to the cost of a target.
func (c *targetSelector) add(one *candidate, bias float64, note string) {
	one.bias += bias
	if c.Explained {
		one.notes = append(one.notes, note)
	}
}
