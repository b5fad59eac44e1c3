package elect

import (
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
)

// maxReservingVMs is the number of VMs up to which each keeps a fence in reserve.
// In a larger one only the VMs that watch a service do.
const maxReservingVMs = 16

// maxRefreshDelay spreads the calls of VMs that renew their fences after a
// promotion has made them too low.
const maxRefreshDelay = time.Second

// refreshToken takes a fence that is higher than all that were used so far.
func (e *Elector) refreshToken(delay time.Duration) {
	if delay > 0 {
		select {
		case <-e.ctx.Done():
			return
		case <-e.cfg.Clock.After(rand.N(delay)):
		}
	}
	if len(e.cfg.Members.Live()) <= maxReservingVMs {
		e.tokens.refresh(e.ctx)
	}
}

// primaryTerms returns the terms of the present primaries as far as they are known.
func (e *Elector) primaryTerms() map[siskin.ServiceName]siskin.Term {
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

// minRenewalInterval is the least time between two renewals of the fence in reserve for
// new terms of one service.
const minRenewalInterval = 2 * time.Second

// renewForTerm renews the fence in reserve once the term of a primary is known,
// so that it is known to be higher than those used before. Without the store the
// next change may then use it. The caller holds mu.
func (e *Elector) renewForTerm(name siskin.ServiceName, term siskin.Term, w *watch, now time.Time) {
	if e.cfg.Fencing || term == 0 || now.Sub(w.tokenRenewed) < minRenewalInterval || e.tokens.coversTerm(name, term) {
		return
	}
	w.tokenRenewed = now
	e.tasks.Go(func() {
		select {
		case <-e.ctx.Done():
			return
		case <-e.cfg.Clock.After(rand.N(maxRefreshDelay)):
		}
		if !e.tokens.coversTerm(name, term) {
			e.tokens.refresh(e.ctx)
		}
	})
}

// HasFencingToken reports whether a fence is in reserve that was asked for when the term
// of a service was known.
func (e *Elector) HasFencingToken(name siskin.ServiceName, term siskin.Term) bool {
	return e.tokens.coversTerm(name, term)
}
