package load

import (
	"slices"
	"sort"
	"time"

	"siskintray.example/siskin"
)

// opening is added to the windows that have opened, so that their values are
// above those of all others.
const opening = 1 << 40

// Overshoot returns the largest number of admitted requests above
// rate x time + burst over all windows. Only requests that started and ended
// inside a window count for it, so that a positive result proves a breach
// whatever the moment of admission was.
func Overshoot(events []Event, rate siskin.RequestsPerSecond, burst siskin.Requests) float64 {
	admitted := admittedEvents(events)
	if len(admitted) == 0 {
		return 0
	}
	starts := make([]time.Duration, len(admitted))
	for i := range admitted {
		starts[i] = admitted[i].Sent
	}
	slices.Sort(starts)
	// The tree holds, for the window that opens at each start, the requests
	// inside it so far plus rate x the window's opening. A window counts from
	// the end of the request that opens it.
	tree := newMaxTree(len(starts))
	opened := make([]int, len(starts))
	worst := -float64(burst)
	for i := range admitted {
		e := &admitted[i]
		first := sort.Search(len(starts), func(k int) bool { return starts[k] >= e.Sent })
		last := sort.Search(len(starts), func(k int) bool { return starts[k] > e.Sent }) - 1
		own := first + opened[first]
		opened[first]++
		tree.add(own, own, opening+float64(rate)*e.Sent.Seconds())
		tree.add(0, last, 1)
		worst = max(worst, tree.max()-opening-float64(rate)*e.Ended.Seconds()-float64(burst))
	}
	return max(worst, 0)
}

// admittedEvents returns the events whose request was admitted, ordered by end.
func admittedEvents(events []Event) []Event {
	var admitted []Event
	for i := range events {
		if events[i].Outcome == Acknowledged {
			admitted = append(admitted, events[i])
		}
	}
	slices.SortFunc(admitted, func(a, b Event) int { return int(a.Ended - b.Ended) })
	return admitted
}

// RefusedWithinRate returns the number of requests that were refused for their
// rate although one bucket for the whole fleet would have admitted them, and
// the number of requests that the bucket would have admitted.
func RefusedWithinRate(events []Event, rate siskin.RequestsPerSecond, burst siskin.Requests) (refused, within int) {
	ordered := slices.Clone(events)
	slices.SortFunc(ordered, func(a, b Event) int { return int(a.Sent - b.Sent) })
	level, last := float64(burst), time.Duration(0)
	for i := range ordered {
		e := &ordered[i]
		level = min(float64(burst), level+float64(rate)*(e.Sent-last).Seconds())
		last = e.Sent
		if level < 1 {
			continue
		}
		level--
		within++
		if e.Outcome == Outcome(siskin.RateExceeded.String()) {
			refused++
		}
	}
	return refused, within
}
