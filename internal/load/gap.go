package load

import (
	"slices"
	"time"
)

// WriteGap returns the time around a fault from the last write acknowledged
// before it to the first acknowledged after it, the longest one over the time
// from the fault to the end of the events. It returns false when no write was
// acknowledged after the fault.
func WriteGap(events []Event, fault time.Duration) (time.Duration, bool) {
	var acks []time.Duration
	for i := range events {
		if events[i].Operation == Write && events[i].Outcome == Acknowledged {
			acks = append(acks, events[i].Ended)
		}
	}
	slices.Sort(acks)
	longest, ok := time.Duration(0), false
	for i := 1; i < len(acks); i++ {
		if acks[i] >= fault {
			longest, ok = max(longest, acks[i]-acks[i-1]), true
		}
	}
	return longest, ok
}
