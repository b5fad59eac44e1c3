package home

import "siskintray.example/siskin"

// serveWaiters gives free connections, or the permission to open one, to the
// requests that wait for one, in the order of waiters. The caller holds mu.
func (l *pool) serveWaiters() {
	for len(l.waiters.waiting) > 0 {
		served := false
		for _, w := range l.waiters.ordered() {
			if served = l.tryServe(w); served {
				break // the order may have changed
			}
		}
		if !served {
			return
		}
	}
}

// tryServe reports whether the request no longer waits.
func (l *pool) tryServe(w *connWaiter) bool {
	i := l.idleOf(w.customer)
	switch {
	case l.closing:
		w.err = l.closingError()
	case i >= 0:
		w.conn = l.takeIdleAt(i)
	case l.clock.Now().Before(l.avoidUntil):
		w.err = siskin.NewError(siskin.Unavailable, "target %s is in backoff after a failed connection", l.info.ID).WithRemedy("use another target")
	case l.waiters.mayOpen(l.info.Slots) && l.makeRoom():
		w.open = true
		l.waiters.opening[w.class]++
	default:
		return false
	}
	if w.err != nil {
		l.waiters.remove(w)
	} else {
		l.waiters.serve(w)
	}
	w.ready <- struct{}{}
	return true
}

// makeRoom counts one more open connection if the limit allows, and otherwise
// closes the idle connection that was used least recently in its favour. The
// result is false when none is idle.
func (l *pool) makeRoom() bool {
	switch {
	case l.open < l.connLimiter.limit(l.clock.Now(), l.limit):
		l.open++
		return true
	case len(l.idle) > 0:
		l.idle[0].closeFor(replaced)
		l.idle = l.idle[1:]
		return true
	}
	return false
}
