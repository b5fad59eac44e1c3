package roster

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// coldMargin is added to the time for which a target's entry says that it
	// is cold: a call to the store takes up to this long, and the entry may
	// have been written at the end of it.
	coldMargin = 2 * time.Second
	// coldReportDelay is the time from the failure of a target to the list that
	// shows whether it restarted and is cold. A target writes its entry every
	// 1.2 s.
	coldReportDelay = 2 * time.Second
	// maxListAge is the age of the list up to which a target that is used for
	// the first time cannot have restarted unnoticed. Lists are up to 3.2 s
	// old.
	maxListAge = 5 * time.Second
)

// MayBeCold reports whether a target may be cold, for a VM that has used it
// since the time opened. The time failed is that of its last failure, zero if
// there was none. A target may be cold when its entry says so, or while no list
// shows whether it restarted.
func (r *Roster) MayBeCold(id siskin.TargetID, opened, failed, now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e, ok := r.targets[id]
	switch {
	case !ok, now.Before(e.coldUntil):
		return true
	case !failed.IsZero() && r.listed.Before(failed.Add(coldReportDelay)):
		return true
	case opened.After(r.listed.Add(maxListAge)):
		return true
	default:
		return r.listed.Before(r.gapEnd.Add(coldReportDelay)) && opened.After(r.gapStart.Add(maxListAge))
	}
}

// recordGap records the first list of this VM, or the first list after a gap;
// at is the time when it was requested. The caller holds mu.
func (r *Roster) recordGap(at time.Time) {
	if at.Sub(r.listed) > maxListAge {
		r.gapStart, r.gapEnd = r.listed, at
	}
}
