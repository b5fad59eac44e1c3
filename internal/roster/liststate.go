package roster

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// currentListAge is the age up to which a list is current. Lists are read
	// every 1.5 s, and passed on with pings every 0.3 s.
	currentListAge = 2750 * time.Millisecond
	// usableListAge is the age from which on a list is expired. Most cuts of a
	// network end within it.
	usableListAge = 14 * time.Second
)

// ListState judges the last list by its age at the given time, on a clock that
// includes suspensions.
func (r *Roster) ListState(now time.Time) siskin.ListState {
	_, listed := r.Version()
	switch age := now.Sub(listed); {
	case age <= currentListAge:
		return siskin.ListCurrent
	case age <= usableListAge:
		return siskin.ListOutdated
	default:
		return siskin.ListExpired
	}
}
