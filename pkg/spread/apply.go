package spread

import (
	"context"
	"encoding/json"

	"siskintray.example/siskin"
)

// Apply makes an operator's change current and returns its revision. An error
// of kind Conflict means that another change came first, OutcomeUnknown that
// the platform's answer was lost until the deadline; applying the same change
// with the same operation id then gives the result. Every other error means
// that the change was refused and is visible nowhere.
func (s *Spread) Apply(ctx context.Context, change Change) (siskin.Revision, error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	h, version, err := s.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if rev, ok := h.find(change.Operation); ok {
		return rev, nil
	}
	if change.Base != 0 && change.Base != h.Revision {
		return 0, conflict(h.Revision)
	}
	rev := h.Revision + 1
	docs, err := change.documents(rev)
	if err != nil {
		return 0, err
	}
	entries, err := decodeAll(docs)
	if err != nil {
		return 0, err
	}
	if err := s.cfg.Validate(newOverlay(s.store, rev, entries)); err != nil {
		return 0, err
	}
	if err := s.write(ctx, h, version, change.Operation, docs); err != nil {
		if siskin.KindOf(err) == siskin.Conflict { // others may be applied again
			s.accepted.refuse(rev, change.Operation)
		}
		return 0, err
	}
	s.accepted.note(rev, change.Operation)
	s.install(entries, rev)
	near, far := s.others()
	s.pushAll(h.Revision, append(near, far...))
	return rev, nil
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
	return siskin.NewError(siskin.Conflict, "another change came first; revision %d is current", rev).WithRemedy("look at the current configuration, make the change for it and apply it with a new operation id")
}
