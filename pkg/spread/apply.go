package spread

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// maxRaces bounds how often a change is validated again because another one
// was accepted meanwhile.
const maxRaces = 8

// errRaced says that another change became current first.
var errRaced = errors.New("another change became current first")

// Apply makes an operator's change current and returns its revision. It is
// accepted or refused as a whole, and validated again when another change was
// accepted meanwhile. An error of kind BadInput lists findings, Conflict means
// that another change of the same documents came first, and OutcomeUnknown that
// the platform's answer was lost until the deadline. Every other error means
// that the change was refused and is visible nowhere.
func (s *Spread) Apply(ctx context.Context, change *config.Change) (siskin.Revision, error) {
	for i := 1; ; i++ {
		// A refused operation must not be found as accepted later, so that each
		// attempt has its own id.
		op := siskin.OperationID(string(s.members.Self().ID) + "-" + rand.Text())
		rev, err := s.ApplyWithID(ctx, op, change)
		if !errors.Is(err, errRaced) || i == maxRaces {
			return rev, err
		}
	}
}

// ApplyWithID makes a change current under an operation id and returns its
// revision. Applying the same change again with the same id has no effect and
// gives the result after an error of kind OutcomeUnknown. An error of kind
// Conflict means that any other change came first. After an error of kind
// OutcomeUnknown, one of another kind than Conflict or BadInput says nothing
// about the earlier attempt.
func (s *Spread) ApplyWithID(ctx context.Context, op siskin.OperationID, change *config.Change) (siskin.Revision, error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	h, version, err := s.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if rev, ok := h.find(op); ok {
		return rev, nil
	}
	view := s.snapshot()
	if view.revision != h.Revision { // the head is older than what was pushed meanwhile
		return s.olderHead(ctx, op)
	}
	if err := s.cfg.Validate(view, change).Err(); err != nil {
		return 0, err
	}
	rev := h.Revision + 1
	docs, err := documents(op, change, rev)
	if err != nil {
		return 0, err
	}
	entries, err := decodeAll(docs)
	if err != nil {
		return 0, err
	}
	if err := s.write(ctx, h, version, op, docs); err != nil {
		if siskin.KindOf(err) == siskin.Conflict { // others may be applied again
			s.accepted.refuse(rev, op)
		}
		return 0, err
	}
	s.accepted.note(rev, op)
	s.install(entries, rev)
	near, far := s.others()
	s.pushAll(h.Revision, append(near, far...))
	return rev, nil
}

// olderHead ends an attempt that read a head from before another change. That
// change may be an earlier attempt of the same operation, whose answer was lost.
func (s *Spread) olderHead(ctx context.Context, op siskin.OperationID) (siskin.Revision, error) {
	h, _, err := s.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if rev, ok := h.find(op); ok {
		return rev, nil
	}
	return 0, conflict(h.Revision)
}

// write writes the change object and then makes it current.
func (s *Spread) write(ctx context.Context, h head, version siskin.Version, op siskin.OperationID, docs []Document) error {
	snapshot, err := s.snapshotRevision(ctx)
	if err != nil {
		return err
	}
	next := h.next(op, snapshot)
	if len(next.Recent) > maxRecent {
		return siskin.NewError(siskin.Overloaded, "%d changes wait for the snapshot", len(next.Recent)).WithRemedy("retry in a minute")
	}
	value, err := json.Marshal(changeObject{next.Revision, op, docs})
	if err != nil {
		return siskin.NewError(siskin.Internal, "cannot encode the change").WithCause(err)
	}
	name := changeName(headChange{next.Revision, op})
	// The object is not current yet, so a lost answer does no harm, and a
	// conflict means that an earlier attempt of this operation wrote it.
	if _, err := s.platform.Put(ctx, name, value, 0, op); err != nil && siskin.KindOf(err) != siskin.Conflict {
		if siskin.KindOf(err) == siskin.OutcomeUnknown {
			return siskin.NewError(siskin.Unavailable, "the change could not be stored").WithCause(err).WithRemedy("retry later")
		}
		return err
	}
	value, err = json.Marshal(next)
	if err != nil {
		return siskin.NewError(siskin.Internal, "cannot encode the head").WithCause(err)
	}
	_, err = s.platform.Put(ctx, headName, value, version, op)
	switch siskin.KindOf(err) {
	case siskin.Conflict:
		return s.resolve(ctx, op, err)
	case siskin.OutcomeUnknown:
		return s.resolve(ctx, op, err)
	}
	return err
}

// resolve reads the head back to find out whether an operation took effect.
func (s *Spread) resolve(ctx context.Context, op siskin.OperationID, cause error) error {
	o, err := s.platform.Get(ctx, headName)
	if err != nil {
		return cause
	}
	h, err := parseHead(o)
	if err != nil {
		return cause
	}
	if _, ok := h.find(op); ok {
		return nil
	}
	if siskin.KindOf(cause) == siskin.Conflict {
		return conflict(h.Revision)
	}
	return cause
}

func conflict(rev siskin.Revision) error {
	return siskin.NewError(siskin.Conflict, "another change came first; revision %d is current", rev).
		WithRemedy("look at the current configuration, make the change for it and apply it again").WithCause(errRaced)
}
