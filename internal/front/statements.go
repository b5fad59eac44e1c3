package front

import (
	"bytes"
	"sync"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/relay"
)

// statement is a prepared statement of the session.
type statement struct {
	text []byte // part of the Parse message after the statement name
}

// pendingParse is a Parse message that was sent and is not answered yet.
type pendingParse struct {
	name     string
	stmt     *statement
	injected bool // sent by the proxy, so its ParseComplete is not forwarded
}

// statements keeps the prepared statements of a session. At a target, each is
// prepared as the unnamed statement, so that no named statement remains on the
// connection after the transaction.
type statements struct {
	mu            sync.Mutex // the answer may be read while the batch is being sent
	named         map[string]*statement
	unnamed       *statement
	targetUnnamed *statement // nil when unknown
	size          int
	pending       []pendingParse
	answered      int // number of answered entries of pending
}

// parse records a Parse message of the caller.
func (s *statements) parse(name string, text []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.size + len(text)
	if old := s.find(name); old != nil {
		size -= len(old.text)
	}
	if size > maxStatementBytes || (name != "" && len(s.named) >= maxStatements) {
		return siskin.NewError(siskin.TooLarge, "prepared statements of the session are above %d bytes or %d in number",
			maxStatementBytes, maxStatements).WithRemedy("close prepared statements that are not used")
	}
	st := &statement{text: bytes.Clone(text)}
	s.size = size
	if name == "" {
		s.unnamed = st
	} else {
		if s.named == nil {
			s.named = make(map[string]*statement)
		}
		s.named[name] = st
	}
	s.targetUnnamed = st
	s.pending = append(s.pending, pendingParse{name: name, stmt: st})
	return nil
}

func (s *statements) find(name string) *statement {
	if name == "" {
		return s.unnamed
	}
	return s.named[name]
}

// use returns the text of the Parse message to send before a message that refers
// to the statement, or nil when it is already the target's unnamed statement. It
// returns false for a name that the session does not have.
func (s *statements) use(name string) (text []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.find(name)
	if st == nil {
		return nil, false
	}
	if s.targetUnnamed == st {
		return nil, true
	}
	s.targetUnnamed = st
	s.pending = append(s.pending, pendingParse{stmt: st, injected: true})
	return st.text, true
}

// close removes a statement.
func (s *statements) close(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(name)
	s.targetUnnamed = nil
}

func (s *statements) remove(name string) {
	st := s.find(name)
	if st == nil {
		return
	}
	s.size -= len(st.text)
	if name == "" {
		s.unnamed = nil
	} else {
		delete(s.named, name)
	}
}

// simpleQuery records a simple query, which destroys the unnamed statement.
func (s *statements) simpleQuery() { s.close("") }

// parseCompleted records a ParseComplete and reports whether it must be
// dropped because the proxy, not the caller, sent the Parse.
func (s *statements) parseCompleted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered >= len(s.pending) {
		return false
	}
	s.answered++
	return s.pending[s.answered-1].injected
}

// prepareResend marks all pending Parse messages as unanswered, since the batch
// is sent again.
func (s *statements) prepareResend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = 0
}

// endBatchUnlessFailed ends the batch unless it failed, in which case it may be
// sent again.
func (s *statements) endBatchUnlessFailed(f *relay.Failure) {
	if f == nil {
		s.endBatch()
	}
}

// endBatch removes the statements whose Parse was not completed. The target's
// unnamed statement is not known afterwards: the home may have sent a simple
// query of its own, which destroys it.
func (s *statements) endBatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pending[s.answered:] {
		if !p.injected && s.find(p.name) == p.stmt {
			s.remove(p.name)
		}
	}
	s.targetUnnamed = nil
	clear(s.pending)
	s.pending, s.answered = s.pending[:0], 0
}

// endTransaction resets the target's unnamed statement, since the next
// transaction may run on another connection.
func (s *statements) endTransaction() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetUnnamed = nil
}
