package entry

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

const (
	// maxStateCount is the maximum number of values and prepared statements of
	// a session together.
	maxStateCount = 128
	// maxStateSize is the maximum total length of their names and texts. All
	// values travel with each statement.
	maxStateSize siskin.Bytes = 16 << 10
)

// setValue sets a value of the session.
func (s *Session) setValue(st *siskin.Statement) *siskin.Answer {
	i, found := slices.BinarySearchFunc(s.values, st.Name, func(v home.Value, name string) int { return cmp.Compare(v.Name, name) })
	old := -1
	if found {
		old = len(s.values[i].Text)
	}
	if refusal := s.reserve(st, old); refusal != nil {
		return refusal
	}
	text := strings.Clone(st.Text)
	if found {
		s.values[i].Text = text
	} else {
		s.values = slices.Insert(s.values, i, home.Value{Name: strings.Clone(st.Name), Text: text})
	}
	return s.emptyAnswer()
}

// prepare prepares a statement, or replaces the one with its name.
func (s *Session) prepare(st *siskin.Statement) *siskin.Answer {
	old := -1
	p, found := s.prepared[st.Name]
	if found {
		old = len(p.Shape)
	}
	if refusal := s.reserve(st, old); refusal != nil {
		return refusal
	}
	if s.prepared == nil {
		s.prepared = make(map[string]home.Prepared)
	}
	name := st.Name
	if !found {
		name = strings.Clone(name)
	}
	s.prepared[name] = home.Prepared{Shape: strings.Clone(st.Text), Writes: st.Writes}
	return s.emptyAnswer()
}

// deallocate drops a prepared statement.
func (s *Session) deallocate(st *siskin.Statement) *siskin.Answer {
	p, ok := s.prepared[st.Name]
	if !ok {
		return s.fail(siskin.NoStatement, "no prepared statement has this name")
	}
	delete(s.prepared, st.Name)
	s.stateSize -= siskin.Bytes(len(st.Name) + len(p.Shape))
	return s.emptyAnswer()
}

// reserve counts the name and text of a SetValue or Prepare, in place of an old
// text of the given length, or -1 when the name is new. It refuses a statement
// beyond the bounds of a session as Busy, since a new session has room for it,
// or as Malformed when no session ever has.
func (s *Session) reserve(st *siskin.Statement, old int) *siskin.Answer {
	size := s.stateSize + siskin.Bytes(len(st.Text)-old)
	if old < 0 {
		size = s.stateSize + siskin.Bytes(len(st.Name)+len(st.Text))
	}
	switch {
	case siskin.Bytes(len(st.Name)+len(st.Text)) > maxStateSize:
		return s.fail(siskin.Malformed, fmt.Sprintf("the name and text exceed %d bytes, which is more than a session may hold; shorten them", maxStateSize))
	case size > maxStateSize || old < 0 && len(s.values)+len(s.prepared) >= maxStateCount:
		return s.fail(siskin.Busy, fmt.Sprintf("a session holds at most %d values and prepared statements with %d bytes; not run, open another session", maxStateCount, maxStateSize))
	case !s.chargeState(size):
		return s.fail(siskin.Busy, "the sessions of this VM hold too many values and prepared statements; not run, retry later")
	}
	s.stateSize = size
	return nil
}
