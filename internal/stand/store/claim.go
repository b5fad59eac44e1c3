package store

import (
	"time"

	"siskintray.example/siskin"
)

// Claim sets the claimed term if term is larger than the present one. The
// target then takes no log of an older term and, when it is a primary, commits
// nothing more in its own.
func (s *Store) Claim(now time.Time, term siskin.Term, vm siskin.VMID, session uint64) (st siskin.TargetStatus, granted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term > s.claimed {
		s.claimed, s.by, s.session, granted = term, vm, session, true
		s.endStreamLocked()
		s.notifyLocked()
	}
	return s.statusLocked(now), granted
}

// Promote makes the target the primary of its claimed term. It fails unless the
// session made that claim.
//
// It writes a record of the new term. Without it, a log of the new term could
// be confirmed while its last record is older than one of a primary in between,
// and a later promotion would prefer that primary's log.
func (s *Store) Promote(now time.Time, session uint64) (siskin.TargetStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != session || session == 0 {
		return s.statusLocked(now), siskin.NewError(siskin.Conflict, "promotion refused: the highest claim is for term %d by another session", s.claimed).
			WithRemedy("claim a higher term first")
	}
	term := s.claimed
	if s.role == siskin.RolePrimary && s.stream == term {
		return s.statusLocked(now), nil
	}
	s.role, s.stream, s.drainUntil = siskin.RolePrimary, term, time.Time{}
	s.leader = Leader{ID: s.id, Term: term}
	s.endStreamLocked()
	if !s.rules.NoTermRecord {
		s.appendLocked(Record{Term: term, End: s.log.end() + recordOverhead})
	}
	s.applyLocked(s.log.end())
	s.notifyLocked()
	return s.statusLocked(now), nil
}

// Follow makes the target a replica of leader. It reports whether the target
// was a primary, whose client connections must end: a position read on them
// later would no longer cover what they wrote.
func (s *Store) Follow(now time.Time, leader Leader) (demoted bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isPrimary := s.role == siskin.RolePrimary
	if leader.Term < s.claimed || (isPrimary && leader.Term <= s.stream) || leader.ID == s.id {
		return false, siskin.NewError(siskin.Conflict, "target refuses the log of term %d: it is claimed for term %d", leader.Term, s.claimed).
			WithRemedy("follow the primary of the highest term")
	}
	if s.claimed < leader.Term {
		s.claimed, s.by, s.session = leader.Term, "", 0
	}
	if s.leader != leader || isPrimary {
		s.endStreamLocked()
		s.heard = now
	}
	if isPrimary && !s.rules.KeepStreamTerm {
		// With its old term a demoted primary would look like a replica that
		// confirms the writes it took itself.
		s.stream = 0
	}
	s.leader, s.role = leader, siskin.RoleReplica
	s.notifyLocked()
	return isPrimary, nil
}

// EndSessions forgets which session made the claim, as a restart does. The
// claim itself stays.
func (s *Store) EndSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session = 0
}

// Drain makes a primary refuse new transactions that may write until the given
// time, so that those in progress can end before a planned change of primary.
// The time only bounds the pause when the caller fails; a claim is what fences.
func (s *Store) Drain(now, until time.Time) siskin.TargetStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainUntil = until
	s.notifyLocked()
	return s.statusLocked(now)
}
