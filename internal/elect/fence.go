package elect

import (
	"context"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// FencingTokenKind is the kind of the objects whose versions are fences.
const FencingTokenKind siskin.ObjectKind = "fences"

// fenceTimeout bounds the taking of a fence during a change, which waits for it.
const fenceTimeout = 500 * time.Millisecond

// fence keeps one unused fence in reserve, so that a promotion needs no answer
// of the store. The version of a conditional write to this VM's own object is
// larger than every earlier version and was given to no other VM.
type fence struct {
	e *Elector

	mu      sync.Mutex // held during calls to the store
	next    siskin.FencingToken
	version siskin.Version // of the object; zero when unknown
	serial  int
	// terms are the terms of the primaries that were known before next was asked
	// for. All promotions up to them used lower fences.
	terms map[siskin.ServiceName]siskin.Term

	usedMu sync.Mutex
	used   map[siskin.ServiceName]usedFence
}

// usedFence says that the promotions of a service up to a term used fences up to
// the given one.
type usedFence struct {
	fence siskin.FencingToken
	term  siskin.Term
}

// fenceValue makes each write differ, since an unchanged object keeps its
// version.
type fenceValue struct {
	Run    siskin.Incarnation
	Serial int
}

// take returns a fence that was never used and reserves none. With fresh set it is
// higher than all given out before: an order of another change that is still on
// its way is then refused.
func (f *fence) take(ctx context.Context, fresh bool) (siskin.FencingToken, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == 0 || fresh {
		if err := f.renew(ctx); err != nil {
			return 0, err
		}
	}
	n := f.next
	f.next = 0
	return n, nil
}

// giveBack takes a fence that was not used into reserve.
func (f *fence) giveBack(n siskin.FencingToken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == 0 {
		f.next = n
	}
}

// takeAbove returns a fence that was never used and is higher than floor and
// than all that were used for the service. The targets know the present primary
// as that of the given term.
func (f *fence) takeAbove(ctx context.Context, service siskin.ServiceName, term siskin.Term, floor siskin.FencingToken) (siskin.FencingToken, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	used := f.lastUsed(service)
	fresh := false
	for f.next == 0 || !f.fits(service, used, term, floor, fresh) {
		if err := f.renew(ctx); err != nil {
			return 0, siskin.NewError(siskin.Unavailable, "no fence is known to be higher than those used for %s", service).WithCause(err).WithRemedy("restore the store, or let a VM with a newer fence change the primary")
		}
		fresh = true
	}
	n := f.next
	f.next = 0
	return n, nil
}

// fits reports whether the fence in reserve is higher than all that were used
// for the service. A fresh one is, since the others were taken before it.
func (f *fence) fits(service siskin.ServiceName, used usedFence, term siskin.Term, floor siskin.FencingToken, fresh bool) bool {
	if f.next <= floor || f.next <= used.fence {
		return false
	}
	return fresh || term <= used.term || term <= f.terms[service]
}

// note takes over that a fence was used for the promotion to a term, zero when
// it is not known yet.
func (f *fence) note(service siskin.ServiceName, fence siskin.FencingToken, term siskin.Term) {
	f.usedMu.Lock()
	defer f.usedMu.Unlock()
	if f.used == nil {
		f.used = make(map[siskin.ServiceName]usedFence)
	}
	u := f.used[service]
	f.used[service] = usedFence{max(u.fence, fence), max(u.term, term)}
}

func (f *fence) lastUsed(service siskin.ServiceName) usedFence {
	f.usedMu.Lock()
	defer f.usedMu.Unlock()
	return f.used[service]
}

// coversTerm reports whether the fence in reserve was asked for when the term was
// known, or will be.
func (f *fence) coversTerm(service siskin.ServiceName, term siskin.Term) bool {
	if !f.mu.TryLock() {
		return true // it is being renewed; looked at again at the next tick
	}
	defer f.mu.Unlock()
	return term <= f.terms[service]
}

// reserve takes a fence into reserve when there is none.
func (f *fence) reserve(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != 0 {
		return
	}
	if err := f.renew(ctx); err != nil {
		f.e.cfg.Log.Warn().Err(err).Msg("no fence could be reserved")
	}
}

// refresh replaces the fence in reserve, since a higher one was used. The old
// one is kept when the store does not answer: it may still do for a service
// that saw no higher one.
func (f *fence) refresh(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.renew(ctx); err != nil {
		f.e.cfg.Log.Info().Err(err).Msg("the fence in reserve was not renewed")
	}
}

// renew replaces the fence in reserve.
func (f *fence) renew(ctx context.Context) error {
	terms := f.e.leadTerms()
	if err := f.write(ctx); err != nil {
		return err
	}
	f.terms = terms
	return nil
}

// write writes the object. After a lost answer the object is read, since its
// version may have changed.
func (f *fence) write(ctx context.Context) error {
	store, name := f.e.cfg.Store, string(f.e.cfg.Members.Self().ID)
	f.serial++
	value := fenceValue{f.e.cfg.Run, f.serial}
	var err error
	if f.version == 0 {
		f.version, err = store.Create(ctx, FencingTokenKind, name, value)
		if siskin.KindOf(err) == siskin.Conflict {
			err = f.read(ctx, name)
		}
		if err != nil {
			f.version = 0
			return err
		}
		if f.next = siskin.FencingToken(f.version); f.next != 0 {
			return nil
		}
	}
	version, err := store.Update(ctx, FencingTokenKind, name, value, f.version)
	if err != nil {
		f.version = 0
		return err
	}
	f.version, f.next = version, siskin.FencingToken(version)
	return nil
}

// read finds the version of the object of an earlier run and writes over it.
func (f *fence) read(ctx context.Context, name string) error {
	l, err := f.e.cfg.Store.List(ctx, FencingTokenKind)
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		if o.Name == name {
			f.version, err = f.e.cfg.Store.Update(ctx, FencingTokenKind, name, fenceValue{f.e.cfg.Run, f.serial}, o.Version)
			return err
		}
	}
	return siskin.NewError(siskin.Unavailable, "the fence of this VM is not in the store").WithRemedy("retry")
}
