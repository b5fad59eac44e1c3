package group

import (
	"context"

	"siskintray.example/siskin"
)

// Confirm implements siskin.Group. It returns OutcomeUnknown immediately if a
// later term has begun since the commit or a quorum of targets has been claimed
// for one.
func (g *Group) Confirm(ctx context.Context, pos siskin.Position) error {
	w := g.tracker.add(pos, g.clock.Now())
	var cause error
	select {
	case ok := <-w.result:
		if ok {
			return nil
		}
		return errOutcomeUnknown(pos, errOtherVM(pos.Term+1))
	case <-ctx.Done():
		cause = ctx.Err()
		// Probe the targets, as the deadline may be shorter than the time to
		// detect a failure.
		g.Activate()
	case <-g.ctx.Done():
		cause = errClosed()
	}
	g.tracker.remove(w)
	select {
	case ok := <-w.result:
		if ok {
			return nil
		}
	default:
	}
	return errOutcomeUnknown(pos, cause)
}
