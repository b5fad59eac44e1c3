package elect

import (
	"context"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// FencingTokenKind is the kind of the objects whose versions are fencing
// tokens.
const FencingTokenKind siskin.ObjectKind = "fences"

// tokenTimeout bounds the time to obtain a fencing token during a change.
const tokenTimeout = 500 * time.Millisecond

// tokenReserve keeps one unused fencing token, so that a promotion does not
// depend on an answer of the store. A token is the version of a conditional
// write to this VM's own object. It is larger than every earlier version and
// was issued to no other VM.
type tokenReserve struct {
	e *Elector

	mu      sync.Mutex // held during calls to the store
	unused  siskin.FencingToken
	version siskin.Version // of the object; zero when unknown
	serial  int
	// terms are the terms of the primaries that were known before the unused
	// token was requested. All promotions up to these terms used lower tokens.
	terms map[siskin.ServiceName]siskin.Term

	usedMu sync.Mutex
	used   map[siskin.ServiceName]usedToken
}

// usedToken records that the promotions of a service up to a term used tokens
// up to the given one.
type usedToken struct {
	token siskin.FencingToken
	term  siskin.Term
}

// tokenValue makes each write differ, because an unchanged object keeps its
// version.
type tokenValue struct {
	Run    siskin.Incarnation
	Serial int
}

// take returns an unused token and leaves the reserve empty. If fresh is set,
// the token is higher than all issued before, so that the platform refuses a
// promotion of another change that is still in flight.
func (f *tokenReserve) take(ctx context.Context, fresh bool) (siskin.FencingToken, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unused == 0 || fresh {
		if err := f.renew(ctx); err != nil {
			return 0, err
		}
	}
	n := f.unused
	f.unused = 0
	return n, nil
}

// putBack returns an unused token to the reserve.
func (f *tokenReserve) putBack(n siskin.FencingToken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unused == 0 {
		f.unused = n
	}
}

// takeAbove returns an unused token that is higher than floor and than all
// tokens used for the service. The given term is that of the current primary
// according to the targets.
func (f *tokenReserve) takeAbove(ctx context.Context, service siskin.ServiceName, term siskin.Term, floor siskin.FencingToken) (siskin.FencingToken, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	used := f.lastUsed(service)
	if f.unused == 0 || !f.usable(service, used, term, floor, false) {
		if err := f.renew(ctx); err != nil {
			return 0, siskin.NewError(siskin.Unavailable, "no fencing token is known to be higher than those used for %s", service).WithCause(err).WithRemedy("restore the store, or let a VM with a newer fencing token change the primary")
		}
		// Another write would raise the token by one only.
		if !f.usable(service, used, term, floor, true) {
			return 0, siskin.NewError(siskin.Unavailable, "the fencing token %d of the store is not higher than %d, which is in use for %s", f.unused, max(floor, used.token), service).WithRemedy("check that the store reports its era")
		}
	}
	n := f.unused
	f.unused = 0
	return n, nil
}

// usable reports whether the reserved token is higher than all tokens used for
// the service. A fresh one is, because all others were issued before it.
func (f *tokenReserve) usable(service siskin.ServiceName, used usedToken, term siskin.Term, floor siskin.FencingToken, fresh bool) bool {
	if f.unused <= floor || f.unused <= used.token {
		return false
	}
	return fresh || term <= used.term || term <= f.terms[service]
}

// recordUse records that a token was used for the promotion to a term, which is
// zero if not known yet.
func (f *tokenReserve) recordUse(service siskin.ServiceName, token siskin.FencingToken, term siskin.Term) {
	f.usedMu.Lock()
	defer f.usedMu.Unlock()
	if f.used == nil {
		f.used = make(map[siskin.ServiceName]usedToken)
	}
	u := f.used[service]
	f.used[service] = usedToken{max(u.token, token), max(u.term, term)}
}

func (f *tokenReserve) lastUsed(service siskin.ServiceName) usedToken {
	f.usedMu.Lock()
	defer f.usedMu.Unlock()
	return f.used[service]
}

// coversTerm reports whether the reserved token was requested when the term was
// already known, or is being renewed.
func (f *tokenReserve) coversTerm(service siskin.ServiceName, term siskin.Term) bool {
	if !f.mu.TryLock() {
		return true // it is being renewed; checked again at the next interval
	}
	defer f.mu.Unlock()
	return term <= f.terms[service]
}

// fill obtains a token if none is in reserve.
func (f *tokenReserve) fill(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unused != 0 {
		return
	}
	if err := f.renew(ctx); err != nil {
		f.e.cfg.Log.Warn().Err(err).Msg("could not reserve a fencing token")
	}
}

// refresh replaces the reserved token after a higher one was used. The old one
// is kept if the store does not answer: it may still suffice for a service for
// which no higher one was used.
func (f *tokenReserve) refresh(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.renew(ctx); err != nil {
		f.e.cfg.Log.Info().Err(err).Msg("could not renew the reserved fencing token")
	}
}

// renew replaces the reserved token and records the known terms.
func (f *tokenReserve) renew(ctx context.Context) error {
	terms := f.e.primaryTerms()
	if err := f.write(ctx); err != nil {
		return err
	}
	f.terms = terms
	return nil
}

// write writes the object. If the answer is lost, the next write reads the
// object first, because its version may have changed.
func (f *tokenReserve) write(ctx context.Context) error {
	name := string(f.e.cfg.Members.Self().ID)
	f.serial++
	version := f.version
	f.version = 0
	var err error
	if version != 0 {
		version, err = f.e.cfg.Store.Update(ctx, FencingTokenKind, name, tokenValue{f.e.cfg.Run, f.serial}, version)
	}
	// A store that has returned from an older copy may lack the object, or have
	// an earlier version of it.
	if version == 0 || siskin.KindOf(err) == siskin.Conflict {
		version, err = f.create(ctx, name)
	}
	if err != nil {
		return err
	}
	f.version, f.unused = version, siskin.FencingToken(version)
	return nil
}

// create creates the object, or overwrites the one left by an earlier run or an
// unanswered write.
func (f *tokenReserve) create(ctx context.Context, name string) (siskin.Version, error) {
	value := tokenValue{f.e.cfg.Run, f.serial}
	version, err := f.e.cfg.Store.Create(ctx, FencingTokenKind, name, value)
	if siskin.KindOf(err) != siskin.Conflict {
		return version, err
	}
	o, err := f.e.cfg.Store.Get(ctx, FencingTokenKind, name)
	if err != nil {
		return 0, err
	}
	return f.e.cfg.Store.Update(ctx, FencingTokenKind, name, value, o.Version)
}
