package elect

import (
	"context"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// FencingTokenKind is the kind of the objects whose versions are fences.
const FencingTokenKind siskin.ObjectKind = "fences"

// tokenTimeout bounds the taking of a fence during a change, which waits for it.
const tokenTimeout = 500 * time.Millisecond

// tokenReserve keeps one unused tokenReserve in reserve, so that a promotion needs no answer
// of the store. The version of a conditional write to this VM's own object is
// larger than every earlier version and was given to no other VM.
type tokenReserve struct {
	e *Elector

	mu      sync.Mutex // held during calls to the store
	unused  siskin.FencingToken
	version siskin.Version // of the object; zero when unknown
	serial  int
	// terms are the terms of the primaries that were known before next was asked
	// for. All promotions up to them used lower fences.
	terms map[siskin.ServiceName]siskin.Term

	usedMu sync.Mutex
	used   map[siskin.ServiceName]usedToken
}

// usedToken says that the promotions of a service up to a term used fences up to
// the given one.
type usedToken struct {
	token siskin.FencingToken
	term  siskin.Term
}

// tokenValue makes each write differ, since an unchanged object keeps its
// version.
type tokenValue struct {
	Run    siskin.Incarnation
	Serial int
}

// take returns a fence that was never used and reserves none. With fresh set it is
// higher than all given out before: an order of another change that is still on
// its way is then refused.
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

// putBack takes a fence that was not used into reserve.
func (f *tokenReserve) putBack(n siskin.FencingToken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unused == 0 {
		f.unused = n
	}
}

// takeAbove returns a fence that was never used and is higher than floor and
// than all that were used for the service. The targets know the present primary
// as that of the given term.
func (f *tokenReserve) takeAbove(ctx context.Context, service siskin.ServiceName, term siskin.Term, floor siskin.FencingToken) (siskin.FencingToken, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	used := f.lastUsed(service)
	fresh := false
	for f.unused == 0 || !f.usable(service, used, term, floor, fresh) {
		if err := f.renew(ctx); err != nil {
			return 0, siskin.NewError(siskin.Unavailable, "no fence is known to be higher than those used for %s", service).WithCause(err).WithRemedy("restore the store, or let a VM with a newer fence change the primary")
		}
		fresh = true
	}
	n := f.unused
	f.unused = 0
	return n, nil
}

// usable reports whether the fence in reserve is higher than all that were used
// for the service. A fresh one is, since the others were taken before it.
func (f *tokenReserve) usable(service siskin.ServiceName, used usedToken, term siskin.Term, floor siskin.FencingToken, fresh bool) bool {
	if f.unused <= floor || f.unused <= used.token {
		return false
	}
	return fresh || term <= used.term || term <= f.terms[service]
}

// recordUse takes over that a fence was used for the promotion to a term, zero when
// it is not known yet.
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

// coversTerm reports whether the fence in reserve was asked for when the term was
// known, or will be.
func (f *tokenReserve) coversTerm(service siskin.ServiceName, term siskin.Term) bool {
	if !f.mu.TryLock() {
		return true // it is being renewed; looked at again at the next tick
	}
	defer f.mu.Unlock()
	return term <= f.terms[service]
}

// fill takes a fence into fill when there is none.
func (f *tokenReserve) fill(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unused != 0 {
		return
	}
	if err := f.renew(ctx); err != nil {
		f.e.cfg.Log.Warn().Err(err).Msg("no fence could be reserved")
	}
}

// refresh replaces the fence in reserve, since a higher one was used. The old
// one is kept when the store does not answer: it may still do for a service
// that saw no higher one.
func (f *tokenReserve) refresh(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.renew(ctx); err != nil {
		f.e.cfg.Log.Info().Err(err).Msg("the fence in reserve was not renewed")
	}
}

// renew replaces the fence in reserve.
func (f *tokenReserve) renew(ctx context.Context) error {
	terms := f.e.primaryTerms()
	if err := f.write(ctx); err != nil {
		return err
	}
	f.terms = terms
	return nil
}

// write writes the object. After a lost answer the object is read, since its
// version may have changed.
func (f *tokenReserve) write(ctx context.Context) error {
	store, name := f.e.cfg.Store, string(f.e.cfg.Members.Self().ID)
	f.serial++
	value := tokenValue{f.e.cfg.Run, f.serial}
	var err error
	if f.version == 0 {
		f.version, err = store.Create(ctx, FencingTokenKind, name, value)
		if siskin.KindOf(err) == siskin.Conflict {
			err = f.overwrite(ctx, name)
		}
		if err != nil {
			f.version = 0
			return err
		}
		if f.unused = siskin.FencingToken(f.version); f.unused != 0 {
			return nil
		}
	}
	version, err := store.Update(ctx, FencingTokenKind, name, value, f.version)
	if err != nil {
		f.version = 0
		return err
	}
	f.version, f.unused = version, siskin.FencingToken(version)
	return nil
}

// overwrite finds the version of the object of an earlier run and writes over it.
func (f *tokenReserve) overwrite(ctx context.Context, name string) error {
	l, err := f.e.cfg.Store.List(ctx, FencingTokenKind)
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		if o.Name == name {
			f.version, err = f.e.cfg.Store.Update(ctx, FencingTokenKind, name, tokenValue{f.e.cfg.Run, f.serial}, o.Version)
			return err
		}
	}
	return siskin.NewError(siskin.Unavailable, "the fence of this VM is not in the store").WithRemedy("retry")
}
