package relay

import (
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/shard"
)

// maxLeavingTime is the time after which a leaving target may receive no new
// work (P11). refuseLeavingAfter is shorter by a second, which covers the interval
// of the probes that report the state.
const (
	maxLeavingTime     = 3 * time.Second
	refuseLeavingAfter = 2 * time.Second
)

var leavingGetsNoWork = invar.New("LeavingTargetGetsNoNewWork")

// leavingTargets holds since when the targets of the watched groups are leavingTargets.
type leavingTargets struct {
	// serviceCount counts the entries of since, so that a transaction looks nothing
	// up while no target is leaving.
	serviceCount atomic.Int64
	since        *shard.Map[siskin.ServiceName, map[siskin.TargetID]time.Time]
}

// Observe takes over which targets of a service are leaving. Call it with each
// view that changed, and with an empty view when the service is watched no
// longer.
func (h *Home) Observe(service siskin.ServiceName, view *siskin.GroupView) {
	now, l := h.Clock.Now(), &h.leavingTargets
	l.since.Update(service, func(old map[siskin.TargetID]time.Time, had bool) (map[siskin.TargetID]time.Time, bool) {
		since := make(map[siskin.TargetID]time.Time)
		for i := range view.Targets {
			t := &view.Targets[i]
			leftAt, known := old[t.Status.ID]
			switch {
			case known && (t.Status.Leaving || !t.Reachable): // the state of a silent target is not news
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

// leavingFor returns how long a target is known to be leaving, or zero.
func (h *Home) leavingFor(service siskin.ServiceName, target siskin.TargetID) time.Duration {
	if h.leavingTargets.serviceCount.Load() == 0 {
		return 0
	}
	targets, _ := h.leavingTargets.since.Get(service) // replaced as a whole, never changed
	if leftAt, ok := targets[target]; ok {
		return h.Clock.Now().Sub(leftAt)
	}
	return 0
}

// refuseLeaving refuses a transaction, which may have waited here, at a target
// that should have handed over its role by now.
func (l *localExecutor) refuseLeaving() error {
	if l.home.leavingFor(l.hdr.Service, l.hdr.Target) < refuseLeavingAfter {
		return nil
	}
	return siskin.NewError(siskin.NotRun, "target %s is leaving", l.hdr.Target).
		WithRemedy("repeat the request; it goes to another target")
}

// checkLeaving asserts that a transaction does not begin at a target that has
// been leaving for longer than the bound.
func (h *Home) checkLeaving(hdr *Header) {
	if d := h.leavingFor(hdr.Service, hdr.Target); d > maxLeavingTime {
		leavingGetsNoWork.Check(false, "target %s received new work %v after it began to leave", hdr.Target, d)
	}
}
