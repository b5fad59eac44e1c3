package crew

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lateness"
)

const (
	// demotionInterval is the minimum time between two changes of the demotion
	// of a VM, and between its start and the first one. Each change moves homes,
	// which open their connections anew.
	demotionInterval = 3 * time.Second
	// minReturnAfter is the time for which a VM must have recovered before the
	// next half of its resources returns. It doubles up to maxReturnAfter each
	// time that the VM is overloaded again within relapseTime after a return.
	minReturnAfter = 6 * time.Second
	maxReturnAfter = 48 * time.Second
	relapseTime    = time.Minute
)

// demoter decides on the demotion of this VM.
type demoter struct {
	demotion   siskin.Demotion
	changedAt  time.Time // last change, or the first update
	calmSince  time.Time // zero unless the VM is in the state lateness.Normal
	returnedAt time.Time // last time that the demotion was lowered
	// returnAfter is the time without overload before the next return.
	returnAfter time.Duration
}

// update changes the demotion by at most one step, and reports whether it did. A
// VM that recovers keeps its demotion: what it handed over was enough.
func (d *demoter) update(now time.Time, state lateness.State, c demotionGroup) bool {
	if d.changedAt.IsZero() {
		d.changedAt = now
	}
	switch {
	case state != lateness.Normal:
		d.calmSince = time.Time{}
	case d.calmSince.IsZero():
		d.calmSince = now
	}
	sinceChange := now.Sub(d.changedAt)
	if sinceChange < demotionInterval {
		return false
	}
	switch {
	case d.demotion > siskin.NotDemoted && c.exceededBy(d.demotion):
		d.demotion--
	case state == lateness.Overloaded && d.demotion < siskin.FullyDemoted && c.allows(d.demotion+1):
		d.raise(now)
	case state == lateness.Normal && d.demotion > siskin.NotDemoted && min(sinceChange, now.Sub(d.calmSince)) >= d.returnAfter:
		d.demotion--
		d.returnedAt = now
	default:
		return false
	}
	d.changedAt = now
	return true
}

func (d *demoter) raise(now time.Time) {
	relapse := !d.returnedAt.IsZero() && now.Sub(d.returnedAt) < relapseTime
	switch {
	case relapse:
		d.returnAfter = min(2*d.returnAfter, maxReturnAfter)
	case d.demotion == siskin.NotDemoted:
		d.returnAfter = minReturnAfter
	}
	d.returnedAt = time.Time{} // the same return counts once
	d.demotion++
}
