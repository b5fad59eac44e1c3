package spread

import (
	"context"
	"crypto/rand"
	"errors"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
)

var refusedInvisible = invar.New("ConfigRefusedChangeIsInvisible")

// maxRaces bounds how often a change is validated again because another one
// was accepted meanwhile.
const maxRaces = 8

// Apply makes a change current: it is accepted or refused as a whole. The error
// is of kind BadInput for findings, Conflict when another change of the same
// documents won, OutcomeUnknown when the platform's answer was lost for good,
// and Unavailable when the platform cannot be reached. The change must not be
// modified afterwards.
func (s *Spread) Apply(ctx context.Context, change *config.Change) (siskin.Revision, error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	for range maxRaces {
		revision, err := s.applyOnce(ctx, change)
		if err == nil || !errors.Is(err, errRaced) {
			return revision, err
		}
	}
	return 0, siskin.NewError(siskin.Conflict, "other changes were accepted %d times meanwhile", maxRaces).
		WithRemedy("read the configuration again and repeat the change")
}

// errRaced says that another change became current first.
var errRaced = errors.New("another change became current first")

func (s *Spread) applyOnce(ctx context.Context, change *config.Change) (siskin.Revision, error) {
	sent := s.clock.Now()
	o, err := s.platform.Get(ctx, headName)
	if err != nil {
		return 0, err
	}
	if err := s.follow(o, sent); err != nil {
		return 0, err
	}
	h, err := decodeHead(o)
	if err != nil {
		return 0, err
	}
	view := s.store.state.Load()
	if view.revision != h.Revision {
		return 0, errRaced
	}
	if err := s.validate(view, change); err != nil {
		return 0, err
	}
	n := Numbered{Revision: h.Revision + 1, Change: change}
	change.SetRevision(n.Revision)
	if err := s.accept(ctx, o.Version, h, n); err != nil {
		return 0, err
	}
	s.push(s.store.apply([]Numbered{n}))
	return n.Revision, nil
}

// accept writes the change and then the head that makes it current.
func (s *Spread) accept(ctx context.Context, version siskin.Version, h head, n Numbered) error {
	value, err := config.EncodeChange(n.Change)
	if err != nil {
		return err
	}
	ref := changeRef{Revision: n.Revision, Name: changeName(n.Revision, s.members.Self(), s.unknown)}
	old, err := s.platform.Get(ctx, ref.Name)
	if err != nil {
		return err
	}
	ref.Version, err = s.platform.Put(ctx, ref.Name, value, old.Version, s.operation())
	if err != nil {
		return notAccepted(err)
	}
	h.Revision, h.Recent = n.Revision, append(h.Recent, ref)
	value, err = h.encode()
	if err != nil {
		return err
	}
	_, err = s.platform.Put(ctx, headName, value, version, s.operation())
	if err != nil && siskin.KindOf(err) == siskin.Conflict {
		refusedInvisible.Check(s.Revision() < n.Revision || s.hasOther(n), "change %d was refused and is in force", n.Revision)
		return errRaced
	}
	if err != nil {
		s.unknown++
	}
	return err
}

// hasOther reports whether the change in force under the revision is another.
func (s *Spread) hasOther(n Numbered) bool {
	changes, ok := s.store.since(n.Revision - 1)
	return !ok || len(changes) == 0 || changes[0].Change != n.Change
}

// notAccepted turns the error of a write before the head's: whatever happened
// to it, the change did not become current.
func notAccepted(err error) error {
	return siskin.NewError(siskin.Unavailable, "change was not accepted").
		WithRemedy("repeat it when the platform is up").WithCause(err)
}

// operation returns a new id for a conditional update.
func (s *Spread) operation() siskin.OperationID {
	return siskin.OperationID(string(s.members.Self().ID) + "/" + rand.Text())
}
