package elect

import (
	"context"
	"sync"

	"siskintray.example/siskin"
)

// FenceKind is the kind of the objects whose versions are fences.
const FenceKind siskin.ObjectKind = "fences"

// fence keeps one unused fence in reserve, so that a promotion needs no answer
// of the store. The version of a conditional write to this VM's own object is
// larger than every earlier version and was given to no other VM.
type fence struct {
	e *Elector

	mu      sync.Mutex // held during calls to the store
	next    siskin.Fence
	version siskin.Version // of the object; zero when unknown
	serial  int
}

// fenceValue makes each write differ, since an unchanged object keeps its
// version.
type fenceValue struct {
	Run    siskin.Incarnation
	Serial int
}

// take returns a fence that was never used and reserves none.
func (f *fence) take(ctx context.Context) (siskin.Fence, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == 0 {
		if err := f.renew(ctx); err != nil {
			return 0, err
		}
	}
	n := f.next
	f.next = 0
	return n, nil
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

// renew writes the object. After a lost answer the object is read, since its
// version may have changed.
func (f *fence) renew(ctx context.Context) error {
	store, name := f.e.cfg.Store, string(f.e.cfg.Members.Self().ID)
	f.serial++
	value := fenceValue{f.e.cfg.Run, f.serial}
	var err error
	if f.version == 0 {
		f.version, err = store.Create(ctx, FenceKind, name, value)
		if siskin.KindOf(err) == siskin.Conflict {
			err = f.read(ctx, name)
		}
		if err != nil {
			f.version = 0
			return err
		}
		if f.next = siskin.Fence(f.version); f.next != 0 {
			return nil
		}
	}
	version, err := store.Update(ctx, FenceKind, name, value, f.version)
	if err != nil {
		f.version = 0
		return err
	}
	f.version, f.next = version, siskin.Fence(version)
	return nil
}

// read finds the version of the object of an earlier run and writes over it.
func (f *fence) read(ctx context.Context, name string) error {
	l, err := f.e.cfg.Store.List(ctx, FenceKind)
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		if o.Name == name {
			f.version, err = f.e.cfg.Store.Update(ctx, FenceKind, name, fenceValue{f.e.cfg.Run, f.serial}, o.Version)
			return err
		}
	}
	return siskin.NewError(siskin.Unavailable, "the fence of this VM is not in the store").WithRemedy("retry")
}
