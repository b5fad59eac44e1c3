package bench

import (
	"maps"
	"slices"

	"siskintray.example/siskin/internal/load"
)

func sortedOutcomes(counts map[load.Outcome]int) []load.Outcome {
	return slices.Sorted(maps.Keys(counts))
}

// refusedWithinRate returns the share of requests within their customer's rate
// that were refused for their rate, over all customers.
func refusedWithinRate(events []load.Event, customers []load.Customer) float64 {
	refused, within := 0, 0
	for _, c := range customers {
		r, w := load.RefusedWithinRate(eventsOf(events, c.ID), c.Rate, c.Burst)
		refused += r
		within += w
	}
	if within == 0 {
		return 0
	}
	return float64(refused) / float64(within)
}
