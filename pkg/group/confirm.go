package group

import (
	"context"

	"siskintray.example/siskin"
)

// Confirm implements siskin.Group. A commit of a term that has been replaced or
// claimed away is answered at once.
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
		g.Activate() // deadlines may be shorter than the time that shows a failure
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
