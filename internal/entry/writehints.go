package entry

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// writeHintPeriod is how long transactions of a route are expected to write
// after one of them did.
const writeHintPeriod = 5 * time.Minute

// writeHints records the routes whose transactions are expected to write.
//
// On a route with bounded staleness a transaction is expected only to read, so
// it is begun read-only at a replica. Otherwise transactions of several
// statements on such routes would hold most slots of the primary, which alone
// can run writes. A write in such a transaction aborts it without an effect,
// and the following transactions on the route begin at the primary.
type writeHints struct {
	until *shard.Map[siskin.RouteName, time.Time]
}

func newWriteHints() *writeHints { return &writeHints{until: shard.New[siskin.RouteName, time.Time]()} }

func (w *writeHints) record(route siskin.RouteName, now time.Time) {
	w.until.Put(route, now.Add(writeHintPeriod))
}

// expectsWrite reports whether transactions of a route, other than declared
// read-only ones, are expected to write.
func (w *writeHints) expectsWrite(route *siskin.RouteSpec, now time.Time) bool {
	if route.Kind != siskin.BoundedStaleness {
		return true
	}
	until, ok := w.until.Get(route.Name)
	return ok && now.Before(until)
}
