package sysd

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskintray.example/siskin"
)

// homeChanges counts the homes that this VM takes over or hands over, for any
// reason.
type homeChanges struct {
	taken, left tally.Counter
	homes       map[siskin.TargetID]bool // nil before the first targets
}

func newHomeChanges(scope tally.Scope) *homeChanges {
	counter := func(direction string) tally.Counter {
		return scope.Tagged(map[string]string{"direction": direction}).Counter("homes_moved")
	}
	return &homeChanges{taken: counter("here"), left: counter("away")}
}

// update compares the homes with those of the last call, and returns the numbers
// of new and lost ones. A target that is no longer listed has not moved.
func (c *homeChanges) update(targets []siskin.TargetInfo, isHome func(siskin.TargetInfo) bool) (taken, left int64) {
	homes := make(map[siskin.TargetID]bool, len(targets))
	for _, t := range targets {
		was, known := c.homes[t.ID]
		homes[t.ID] = isHome(t)
		switch {
		case known && homes[t.ID] && !was:
			taken++
		case known && !homes[t.ID] && was:
			left++
		}
	}
	c.homes = homes
	c.taken.Inc(taken)
	c.left.Inc(left)
	return taken, left
}

// reportOverload updates the metrics of overload and of moved homes, and logs
// moves.
func (n *node) reportOverload(changes *homeChanges) {
	targets, _, _ := n.roster.Listed()
	demotion := n.crew.Demotion()
	if taken, left := changes.update(targets, n.path.IsHome); taken+left > 0 {
		n.log.Info().Int64("Taken", taken).Int64("Left", left).Int("Demotion", int(demotion)).Msg("homes of this VM changed")
	}
	scope := n.stats.Scope()
	overloaded := 0.0
	if n.crew.Lateness() > 0 {
		overloaded = 1
	}
	scope.Gauge("overloaded").Update(overloaded)
	scope.Gauge("overload_lateness_seconds").Update(n.crew.Lateness().Seconds())
	scope.Gauge("demotion").Update(float64(demotion))
}

// lateness returns the expected delay of goroutines while this VM is overloaded,
// or zero.
func (n *node) lateness() time.Duration {
	if n.crew == nil { // homes start before the crew
		return 0
	}
	return n.crew.Lateness()
}

// demotedConnParts is the part of the connections of a target that a home keeps
// while it is demoted, as a divisor. VMs that have not received the notice yet,
// and those of an earlier version, still send their statements to it.
const demotedConnParts = 4

// demotedConnLimit returns the maximum number of connections that a VM opens to a
// target whose home is demoted. The demoted and the present home together open
// no more than one home does, which is the given number.
func demotedConnLimit(home int, isHome, isDemoted bool) int {
	kept := max(nonHomeConns, home/demotedConnParts)
	switch {
	case isHome:
		return max(1, home-kept)
	case isDemoted:
		return kept
	default:
		return nonHomeConns
	}
}
