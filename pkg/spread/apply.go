package spread

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// maxApplyAttempts bounds how often Apply validates and submits a change when
// other changes are accepted concurrently.
const maxApplyAttempts = 8

// errConcurrentChange is the cause of the Conflict error that Apply retries.
var errConcurrentChange = errors.New("another change was committed first")

// Apply commits an operator's change and returns its revision. The change is
// atomic, and it is validated again if another change is accepted concurrently.
// An error of kind BadInput lists findings. Conflict means that another change
// of the same documents was committed first, and OutcomeUnknown that no response
// of the platform arrived before the deadline. Every other error means that the
// change was refused and is not visible at any VM.
func (s *Spread) Apply(ctx context.Context, change *config.Change) (siskin.Revision, error) {
	for i := 1; ; i++ {
		// Each attempt has its own operation id, so that a refused attempt is
		// never mistaken for one that was accepted.
		op := siskin.OperationID(string(s.members.Self().ID) + "-" + rand.Text())
		rev, err := s.ApplyWithID(ctx, op, change)
		if !errors.Is(err, errConcurrentChange) || i == maxApplyAttempts {
			return rev, err
		}
	}
}

// ApplyWithID commits a change under an operation id and returns its revision.
// It is idempotent: after an error of kind OutcomeUnknown, a retry of the same
// change with the same id returns the outcome. An error of kind Conflict means
// that any other change was committed first. If the retry fails with a kind
// other than Conflict or BadInput, the outcome of the earlier attempt is still
// unknown.
func (s *Spread) ApplyWithID(ctx context.Context, op siskin.OperationID, change *config.Change) (siskin.Revision, error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	h, version, err := s.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if rev, ok := h.findOperation(op); ok {
		return rev, nil
	}
	view := s.snapshot()
	if view.revision != h.Revision { // a newer revision was pushed after the head was read
		return s.resolveStaleHead(ctx, op)
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
	if err := s.commitChange(ctx, h, version, op, docs); err != nil {
		if siskin.KindOf(err) == siskin.Conflict { // after other errors a retry may be accepted
			s.operationHistory.recordRefused(rev, op)
		}
		return 0, err
	}
	s.operationHistory.recordAccepted(rev, op)
	s.install(entries, rev)
	local, remote := s.others()
	s.pushAll(h.Revision, append(local, remote...))
	return rev, nil
}

// resolveStaleHead returns the result of an attempt that read the head before
// another change was committed. That change may be an earlier attempt of the
// same operation whose response was lost.
func (s *Spread) resolveStaleHead(ctx context.Context, op siskin.OperationID) (siskin.Revision, error) {
	h, _, err := s.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if rev, ok := h.findOperation(op); ok {
		return rev, nil
	}
	return 0, conflictError(h.Revision)
}

// commitChange writes the change object and then commits it by a conditional
// update of the head.
func (s *Spread) commitChange(ctx context.Context, h head, version siskin.Version, op siskin.OperationID, docs []Document) error {
	snapshot, err := s.snapshotRevision(ctx)
	if err != nil {
		return err
	}
	next := h.next(op, snapshot)
	if len(next.Recent) > maxRecent {
		return siskin.NewError(siskin.Overloaded, "%d changes are not in the snapshot yet", len(next.Recent)).WithRemedy("retry in a minute")
	}
	value, err := json.Marshal(changeObject{next.Revision, op, docs})
	if err != nil {
		return siskin.NewError(siskin.Internal, "cannot encode the change").WithCause(err)
	}
	name := changeName(headChange{next.Revision, op})
	// The head does not refer to the object yet, so a lost response is harmless.
	// A conflict means that an earlier attempt of this operation wrote the object.
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
		return s.resolveOutcome(ctx, op, err)
	case siskin.OutcomeUnknown:
		return s.resolveOutcome(ctx, op, err)
	}
	return err
}

// resolveOutcome reads the head to determine whether an operation was
// committed. It returns nil if so.
func (s *Spread) resolveOutcome(ctx context.Context, op siskin.OperationID, cause error) error {
	o, err := s.platform.Get(ctx, headName)
	if err != nil {
		return cause
	}
	h, err := parseHead(o)
	if err != nil {
		return cause
	}
	if _, ok := h.findOperation(op); ok {
		return nil
	}
	if siskin.KindOf(cause) == siskin.Conflict {
		return conflictError(h.Revision)
	}
	return cause
}

func conflictError(rev siskin.Revision) error {
	return siskin.NewError(siskin.Conflict, "another change was committed first; revision %d is current", rev).
		WithRemedy("read the current configuration, base the change on it and apply it again").WithCause(errConcurrentChange)
}
