package node

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/pkg/config"
)

// statementActivity returns since when the longest waiting statement of this VM
// waits for the target, zero if none waits, and when the target last answered a
// statement.
func (g *groups) statementActivity(service *config.Service, target siskin.TargetID) (quiet, last time.Time) {
	for slot := range service.Slots {
		q, at := g.activity(pool.Key{Target: target, Slot: siskin.Slot(slot)})
		if !q.IsZero() && (quiet.IsZero() || q.Before(quiet)) {
			quiet = q
		}
		if at.After(last) {
			last = at
		}
	}
	return quiet, last
}
