package entry

import (
	"strconv"
	"strings"
	"testing"

	"siskintray.example/siskin"
)

// TestSessionBounds guards against sessions that hold values and prepared
// statements without a limit.
func TestSessionBounds(t *testing.T) {
	prepare := func(name string, size int) siskin.Statement {
		return siskin.Statement{Kind: siskin.Prepare, Name: name, Text: strings.Repeat("q", size)}
	}
	set := func(name string, size int) siskin.Statement {
		return siskin.Statement{Kind: siskin.SetValue, Name: name, Text: strings.Repeat("v", size)}
	}
	many := make([]siskin.Statement, 0, maxStateCount)
	for i := range maxStateCount {
		many = append(many, prepare("s"+strconv.Itoa(i), 1))
	}
	half := int(maxStateSize) / 2
	for _, c := range []struct {
		name string
		held []siskin.Statement
		next siskin.Statement
		want siskin.AnswerCode
	}{
		{"another name", many, prepare("new", 1), siskin.Busy},
		{"another value", many, set("s1", 1), siskin.Busy},
		{"name that is prepared again", many, prepare("s1", 9), siskin.Succeeded},
		{"name after another was dropped", append(many[:maxStateCount:maxStateCount], siskin.Statement{Kind: siskin.Deallocate, Name: "s1"}), prepare("new", 1), siskin.Succeeded},
		{"shape that fits", []siskin.Statement{prepare("a", half)}, prepare("b", half-2), siskin.Succeeded},
		{"shape beside a long value", []siskin.Statement{set("a", half)}, prepare("b", half), siskin.Busy},
		{"value beside a long shape", []siskin.Statement{prepare("a", half)}, set("b", half), siskin.Busy},
		{"longer text for a value", []siskin.Statement{set("a", half)}, set("a", int(maxStateSize)-1), siskin.Succeeded},
		{"value of a dropped shape's size", []siskin.Statement{prepare("a", half), {Kind: siskin.Deallocate, Name: "a"}}, set("b", half+1), siskin.Succeeded},
		{"shape that never fits", nil, prepare("a", int(maxStateSize)), siskin.Malformed},
		{"value that never fits", nil, set("a", int(maxStateSize)), siskin.Malformed},
		{"name that never fits", nil, set(strings.Repeat("n", int(maxStateSize)+1), 0), siskin.Malformed},
	} {
		f := newFixture(t)
		s := f.session("primary")
		run := func(st siskin.Statement) *siskin.Answer {
			a, err := s.answer(&st)
			if err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			return a
		}
		for _, st := range c.held {
			if a := run(st); a.Code != siskin.Succeeded {
				t.Fatalf("%s: got %v for a statement within the bounds, want success", c.name, a.Code)
			}
		}
		run(siskin.Statement{Kind: siskin.Begin})
		a := run(c.next)
		if a.Code != c.want || a.Code != siskin.Succeeded && (a.Message == "" || a.State != siskin.TxFailed) {
			t.Errorf("%s: got %v %q in state %v, want %v", c.name, a.Code, a.Message, a.State, c.want)
		}
	}
}
