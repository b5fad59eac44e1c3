package store

import (
	"time"

	"siskintray.example/siskin"
)

// ErrDuplicate says that an inserted key exists.
var ErrDuplicate = siskin.NewError(siskin.TargetRefused, "duplicate key value violates unique constraint %q", "kv_pkey").
	WithRemedy("use another key or ON CONFLICT")

func errReadOnly(reason string) error {
	return siskin.NewError(siskin.NotRun, "cannot execute in a read-only target: %s", reason).
		WithRemedy("send the write to the present primary")
}

// Begin registers a transaction that may write. It fails when the target
// drains or has been claimed for a later term; nothing has run then. A replica
// admits the transaction and refuses its writes.
func (s *Store) Begin(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == siskin.RolePrimary {
		if s.claimed > s.stream {
			return errReadOnly("the primary has been claimed for a later term")
		}
		if now.Before(s.drainUntil) {
			return errReadOnly("the primary is draining")
		}
	}
	s.running++
	return nil
}

// End unregisters a transaction.
func (s *Store) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 {
		s.notifyLocked()
	}
}

// Writable returns an error when the target does not take writes.
func (s *Store) Writable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writableLocked()
}

func (s *Store) writableLocked() error {
	if s.role != siskin.RolePrimary {
		return errReadOnly("the target is a replica")
	}
	if s.claimed > s.stream {
		return errReadOnly("the primary has been claimed for a later term")
	}
	return nil
}

// Commit appends the changes as one record and returns its position.
func (s *Store) Commit(ops []Op) (siskin.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writableLocked(); err != nil {
		return siskin.Position{}, err
	}
	for _, op := range ops {
		if _, exists := s.table[op.Key]; exists && op.Insert {
			return siskin.Position{}, ErrDuplicate
		}
	}
	r := Record{Term: s.stream, End: s.log.end() + size(ops), Ops: ops}
	s.appendLocked(r)
	s.applyLocked(r.End)
	return siskin.Position{Term: r.Term, LSN: r.End}, nil
}

// Position returns the term and the end of a primary's log.
func (s *Store) Position() (siskin.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != siskin.RolePrimary {
		return siskin.Position{}, errReadOnly("the target is a replica")
	}
	return siskin.Position{Term: s.stream, LSN: s.log.end()}, nil
}

func (s *Store) appendLocked(r Record) {
	s.log.append(r)
	s.notifyLocked()
}

// applyLocked applies the records that end at or before pos.
func (s *Store) applyLocked(pos siskin.LSN) {
	for ; s.next < len(s.log.records) && s.log.records[s.next].End <= pos; s.next++ {
		r := s.log.records[s.next]
		for _, op := range r.Ops {
			if op.Delete {
				delete(s.table, op.Key)
			} else {
				s.table[op.Key] = op.Value
			}
		}
		s.applied = r.End
	}
}
