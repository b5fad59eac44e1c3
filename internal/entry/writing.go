package entry

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// writeHintPeriod is the time for which a route counts as one whose transactions
// write, after one did.
const writeHintPeriod = 5 * time.Minute

// writeHints remembers the routes whose plain transactions write.
//
// On a route that accepts old data a plain transaction is expected to read only,
// so it begins read-only at a replica. With transactions of several statements,
// such routes would else hold most slots of the primary, which alone can run
// writes. A write in such a transaction ends it without a trace, and those that
// follow on the route begin at the primary.
type writeHints struct {
	until *shard.Map[siskin.RouteName, time.Time]
}

func newWriteHints() *writeHints { return &writeHints{until: shard.New[siskin.RouteName, time.Time]()} }

func (w *writeHints) record(route siskin.RouteName, now time.Time) {
	w.until.Put(route, now.Add(writeHintPeriod))
}

// expectsWrite reports whether plain transactions of a route are expected to write.
func (w *writeHints) expectsWrite(route *siskin.RouteSpec, now time.Time) bool {
	if route.Kind != siskin.BoundedStaleness {
		return true
	}
	until, ok := w.until.Get(route.Name)
	return ok && now.Before(until)
}
