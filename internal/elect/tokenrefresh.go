package elect

import (
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
)

// maxReservingVMs is the fleet size up to which each VM keeps a fencing token
// in reserve. In a larger fleet only the VMs that watch a service do.
const maxReservingVMs = 16

// maxRefreshDelay spreads the store calls of VMs that renew their tokens after
// a promotion with a higher one.
const maxRefreshDelay = time.Second

// refreshToken obtains a token that is higher than all used so far.
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

// primaryTerms returns the known terms of the current primaries.
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

// minRenewalInterval is the minimum time between two renewals of the reserved
// token for new terms of one service.
const minRenewalInterval = 2 * time.Second

// renewForTerm renews the reserved token once the term of a primary is known,
// so that the token is known to exceed those used before. The next change may
// then use it even if the store is unavailable. The caller holds mu.
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

// HasFencingToken reports whether the reserved token was requested when the
// term of a service was known.
func (e *Elector) HasFencingToken(name siskin.ServiceName, term siskin.Term) bool {
	return e.tokens.coversTerm(name, term)
}
