package relay

import (
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/shard"
)

// maxLeavingTime is the time after which a leaving target must not receive new
// work (P11). refuseLeavingAfter is a second shorter, to cover the interval of
// the probes that report the state.
const (
	maxLeavingTime     = 3 * time.Second
	refuseLeavingAfter = 2 * time.Second
)

var leavingGetsNoWork = invar.New("LeavingTargetGetsNoNewWork")

// leavingTargets records when the targets of the watched groups began to leave.
type leavingTargets struct {
	// serviceCount is the number of entries in since. While it is zero,
	// transactions skip the lookup.
	serviceCount atomic.Int64
	since        *shard.Map[siskin.ServiceName, map[siskin.TargetID]time.Time]
}

// Observe records which targets of a service are leaving. It must be called
// with each changed view, and with an empty view when the service is no longer
// watched.
func (h *Home) Observe(service siskin.ServiceName, view *siskin.GroupView) {
	now, l := h.Clock.Now(), &h.leavingTargets
	l.since.Update(service, func(old map[siskin.TargetID]time.Time, had bool) (map[siskin.TargetID]time.Time, bool) {
		since := make(map[siskin.TargetID]time.Time)
		for i := range view.Targets {
			t := &view.Targets[i]
			leftAt, known := old[t.Status.ID]
			switch {
			case known && (t.Status.Leaving || !t.Reachable): // an unreachable target keeps its last known state
				since[t.Status.ID] = leftAt
			case t.Status.Leaving:
				since[t.Status.ID] = now
			}
		}
		keep := len(since) > 0
		switch {
		case keep && !had:
			l.serviceCount.Add(1)
		case had && !keep:
			l.serviceCount.Add(-1)
		}
		return since, keep
	})
}

// leavingFor returns how long ago a target was first seen leaving, or zero if
// it is not leaving.
func (h *Home) leavingFor(service siskin.ServiceName, target siskin.TargetID) time.Duration {
	if h.leavingTargets.serviceCount.Load() == 0 {
		return 0
	}
	targets, _ := h.leavingTargets.since.Get(service) // copy-on-write
	if leftAt, ok := targets[target]; ok {
		return h.Clock.Now().Sub(leftAt)
	}
	return 0
}

// refuseLeaving refuses a transaction, which may have waited in the queue, on a
// target that should have handed off its role by now.
func (l *localExecutor) refuseLeaving() error {
	if l.home.leavingFor(l.hdr.Service, l.hdr.Target) < refuseLeavingAfter {
		return nil
	}
	return siskin.NewError(siskin.NotRun, "target %s is leaving", l.hdr.Target).
		WithRemedy("repeat the request; it goes to another target")
}

// checkLeaving asserts that a transaction does not begin on a target that has
// been leaving for longer than maxLeavingTime.
func (h *Home) checkLeaving(hdr *Header) {
	if d := h.leavingFor(hdr.Service, hdr.Target); d > maxLeavingTime {
		leavingGetsNoWork.Check(false, "target %s received new work %v after it began to leave", hdr.Target, d)
	}
}
