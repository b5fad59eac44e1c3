package elect

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// probe is the result of the last probe of a primary.
type probe struct {
	target                  siskin.TargetID
	silent, refused, denied bool
}

// probe asks the primary to prove that it is primary.
func (e *Elector) probe(ctx context.Context, name siskin.ServiceName, id siskin.TargetID, w *watch) {
	start := e.cfg.Clock.Now()
	err := e.cfg.Homes.Ping(ctx, name, id)
	took := e.cfg.Clock.Since(start)
	e.mu.Lock()
	defer e.mu.Unlock()
	w.probing = false
	if w.lastProbe.target != id {
		return
	}
	w.lastProbe = probe{target: id}
	unconfirmed := w.unconfirmedSince
	w.unconfirmedSince = time.Time{}
	switch {
	case err == nil:
	case siskin.KindOf(err) == siskin.Conflict:
		w.lastProbe.denied = true
	case siskin.KindOf(err) == siskin.Overloaded:
		// The primary answers, so it is neither silent nor terminated.
	case siskin.KindOf(err) == siskin.NotRun:
		// Unreachable replicas prove nothing about the primary.
		if w.unconfirmedSince = unconfirmed; unconfirmed.IsZero() && e.cfg.Homes.ReplicaClaimed(id) {
			w.unconfirmedSince = start
		}
	default:
		// A refused connection fails within a round trip, an unresponsive
		// target after the timeout.
		w.lastProbe.silent, w.lastProbe.refused = true, took < maxRefusalTime
	}
}

// maxRefusalTime is the longest time in which a refused connection fails.
const maxRefusalTime = 100 * time.Millisecond
