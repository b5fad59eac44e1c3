package elect

import (
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
)

// smallFleet is the number of VMs up to which each keeps a fence in reserve.
// In a larger one only the VMs that watch a service do.
const smallFleet = 16

// refreshDelay spreads the calls of VMs that renew their fences after a
// promotion has made them too low.
const refreshDelay = time.Second

// refreshFence takes a fence that is higher than all that were used so far.
func (e *Elector) refreshFence(delay time.Duration) {
	if delay > 0 {
		select {
		case <-e.ctx.Done():
			return
		case <-e.cfg.Clock.After(rand.N(delay)):
		}
	}
	if len(e.cfg.Members.Live()) <= smallFleet {
		e.fence.refresh(e.ctx)
	}
}

// leadTerms returns the terms of the present primaries as far as they are known.
func (e *Elector) leadTerms() map[siskin.ServiceName]siskin.Term {
	if e.cfg.Fencing {
		return nil
	}
	terms := make(map[siskin.ServiceName]siskin.Term)
	for _, s := range e.cfg.Table.Snapshot().Services {
		if t := e.cfg.Views.LatestProof(s.Name).Term; t != 0 {
			terms[s.Name] = t
		}
	}
	return terms
}

// renewalPause is the least time between two renewals of the fence in reserve for
// new terms of one service.
const renewalPause = 2 * time.Second

// renewForTerm renews the fence in reserve once the term of a primary is known,
// so that it is known to be higher than those used before. Without the store the
// next change may then use it. The caller holds mu.
func (e *Elector) renewForTerm(name siskin.ServiceName, term siskin.Term, w *watch, now time.Time) {
	if e.cfg.Fencing || term == 0 || now.Sub(w.renewed) < renewalPause || e.fence.coversTerm(name, term) {
		return
	}
	w.renewed = now
	e.done.Go(func() {
		select {
		case <-e.ctx.Done():
			return
		case <-e.cfg.Clock.After(rand.N(refreshDelay)):
		}
		if !e.fence.coversTerm(name, term) {
			e.fence.refresh(e.ctx)
		}
	})
}

// HasFencingToken reports whether a fence is in reserve that was asked for when the term
// of a service was known.
func (e *Elector) HasFencingToken(name siskin.ServiceName, term siskin.Term) bool {
	return e.fence.coversTerm(name, term)
}
