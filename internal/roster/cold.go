package roster

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// coldMargin is the time for which a target may be cold beyond what its entry
	// says: a call to the store takes up to this long, and the entry may have been
	// written at its end.
	coldMargin = 2 * time.Second
	// coldReportDelay is the time from the failure of a target to the list that tells
	// whether it started again and is cold. A target writes its entry each 1.2 s.
	coldReportDelay = 2 * time.Second
	// maxListAge is the age of the list up to which a target that is used for the
	// first time cannot have started again unseen. Lists are up to 3.2 s old.
	maxListAge = 5 * time.Second
)

// MayBeCold reports whether a target may be cold, for a VM that has used it since the
// time opened and saw it fail last at the time failed, which is zero when it did
// not. The target's entry says so, or no list tells yet whether it started again.
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

// recordGap notes the first list of this VM, or the first one after a time without
// lists, which was asked for at a time. The caller holds mu.
func (r *Roster) recordGap(at time.Time) {
	if at.Sub(r.listed) > maxListAge {
		r.gapStart, r.gapEnd = r.listed, at
	}
}
