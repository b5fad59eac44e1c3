package roster

import (
	"time"

	"siskintray.example/siskin"
)

// restoreGrace is the time after the first list of a new era of the store in
// which the list may be older than what this VM has seen in the former era.
// Targets write their entries again within about two seconds, and the entry of a
// target that is gone is removed after three missed beats.
const restoreGrace = 4 * time.Second

// observeEra records the first list of a new era. The caller holds mu.
func (r *Roster) observeEra(version siskin.Version, at time.Time) {
	if r.version != 0 && version.Era() > r.version.Era() {
		r.restoredAt = at
	}
}

// restoredRecently reports whether a list that was requested at the given time
// may have come from an older copy of the store. The caller holds mu.
func (r *Roster) restoredRecently(at time.Time) bool {
	return !r.restoredAt.IsZero() && at.Sub(r.restoredAt) < restoreGrace
}

// newestOf returns a listed target as this VM knows it, if the list may come
// from an older copy of the store: a run that started later, or one that drains.
// The caller holds mu.
func (r *Roster) newestOf(info siskin.TargetInfo, at time.Time) siskin.TargetInfo {
	e := r.targets[info.ID]
	switch {
	case e == nil || !r.restoredRecently(at):
	case info.StartedAt.Before(e.info.StartedAt):
		return e.info
	case info.StartedAt.Equal(e.info.StartedAt):
		info.Draining = info.Draining || e.info.Draining
	}
	return info
}
