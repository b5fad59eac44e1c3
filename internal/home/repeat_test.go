package home

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/soak"
)

// repeatingTarget is a target and the connection to it. It sends some answers
// again, up to maxLate answers later, alone or with all others of an exchange.
type repeatingTarget struct {
	rng      *rand.Rand
	repeats  float64 // share of answers, or of exchanges, that are sent twice
	refusals float64 // share of single statements refused without a run
	maxLate  int

	state    siskin.TxState
	position siskin.LSN
	signed   int
	ran      map[siskin.RequestID]siskin.Answer // by statement that ran
	stream   []siskin.Answer
	late     []lateAnswer
}

// lateAnswer is sent again after a number of further answers.
type lateAnswer struct {
	answers []siskin.Answer
	after   int
}

func (t *repeatingTarget) Position() siskin.Position {
	return siskin.Position{Term: 1, LSN: t.position}
}
func (t *repeatingTarget) Close() error { return nil }
func (t *repeatingTarget) Unread() bool { return len(t.stream) > 0 }

func (t *repeatingTarget) Receive(time.Time) (siskin.Answer, error) {
	if len(t.stream) == 0 {
		return siskin.Answer{}, os.ErrDeadlineExceeded
	}
	a := t.stream[0]
	t.stream = t.stream[1:]
	return a, nil
}

func (t *repeatingTarget) Exchange(deadline time.Time, list []siskin.Statement) ([]siskin.Answer, error) {
	var block []siskin.Answer
	for i := range list {
		t.pass(1)
		a := t.run(&list[i])
		t.stream = append(t.stream, a)
		block = append(block, a)
		if t.rng.Float64() < t.repeats {
			t.late = append(t.late, lateAnswer{[]siskin.Answer{a}, t.rng.Intn(t.maxLate)})
		}
	}
	if t.rng.Float64() < t.repeats {
		t.late = append(t.late, lateAnswer{block, t.rng.Intn(t.maxLate)})
	}
	var answers []siskin.Answer
	for range list {
		a, err := t.Receive(deadline)
		if err != nil {
			return answers, err
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// pass lets the time of n answers pass.
func (t *repeatingTarget) pass(n int) {
	t.late = slices.DeleteFunc(t.late, func(l lateAnswer) bool {
		if l.after -= n; l.after < 0 {
			t.stream = append(t.stream, l.answers...)
			return true
		}
		return false
	})
	for i := range t.late {
		t.late[i].after -= n
	}
}

// run executes a statement and returns its answer.
func (t *repeatingTarget) run(s *siskin.Statement) siskin.Answer {
	a := siskin.Answer{}
	switch {
	case isControl(s.Kind):
		a.Rows = []string{fmt.Sprint(t.position)}
	case t.state == siskin.TxIdle && (isSigned(s.Kind) && t.rng.Float64() < t.refusals || s.Kind == siskin.Commit):
		a.Code, a.Message = siskin.Busy, "t"
	case isSigned(s.Kind):
		if s.Kind == siskin.Write {
			t.position++
		}
		t.signed++
		a.Signature, a.Rows = fmt.Sprintf("t.%d", t.signed), []string{string(s.ID)}
	}
	if a.Code == siskin.Succeeded {
		t.state = stateAfter(s.Kind, t.state)
	}
	a.State, a.Position = t.state, t.Position()
	if isSigned(s.Kind) && a.Code == siskin.Succeeded {
		t.ran[s.ID] = a
	}
	return a
}

// repeatCounts counts what became of statements at targets that repeat answers.
type repeatCounts struct {
	statements, foreign, falseRefusals, staleProofs, staleStates, broken int
}

// playRepeats runs statements as a home does.
func playRepeats(seed int64, steps int, repeats float64) (n repeatCounts) {
	rng := rand.New(rand.NewSource(seed))
	report := newConnReport(&Config{Clock: boot.Clock{}, Metrics: noMetrics})
	var c *conn
	var target *repeatingTarget
	deadline := time.Now().Add(time.Hour)
	for i := range steps {
		if c == nil {
			target = &repeatingTarget{rng: rng, repeats: repeats, refusals: 0.1, maxLate: 1 + rng.Intn(12), ran: make(map[siskin.RequestID]siskin.Answer)}
			c = newConn(target, "acme", time.Time{})
			c.report = report
		}
		if rng.Intn(2) == 0 {
			target.pass(rng.Intn(6)) // the connection is idle
		}
		n.statements++
		id := siskin.RequestID(fmt.Sprint(i))
		position := target.position
		var err error
		switch rng.Intn(4) {
		case 0:
			var answers []siskin.Answer
			if answers, err = c.control(deadline, []siskin.Statement{{Kind: siskin.Status}}); err == nil && !slices.Equal(answers[0].Rows, []string{fmt.Sprint(position)}) {
				n.staleStates++
			}
		case 1:
			err = n.read(c, target, id, deadline)
		case 2:
			err = n.single(c, target, siskin.Statement{ID: id, Kind: siskin.Read}, deadline)
		case 3:
			err = n.single(c, target, siskin.Statement{ID: id, Kind: siskin.Write}, deadline)
		}
		if err != nil {
			n.broken++
			c = nil
		}
	}
	return n
}

// single runs a statement outside of a transaction.
func (n *repeatCounts) single(c *conn, target *repeatingTarget, s siskin.Statement, deadline time.Time) error {
	answers, err := c.exchange(deadline, []siskin.Statement{s})
	if err != nil {
		return err
	}
	if err := c.settle(deadline); err != nil {
		return err
	}
	n.compare(target, s.ID, &answers[0])
	return nil
}

// read runs a read at a target that proves its lead.
func (n *repeatCounts) read(c *conn, target *repeatingTarget, id siskin.RequestID, deadline time.Time) error {
	position := target.position
	began, err := c.exchange(deadline, []siskin.Statement{{Kind: siskin.Begin}})
	if err != nil {
		return err
	}
	strays := c.strays
	answers, err := c.exchange(deadline, []siskin.Statement{{ID: id, Kind: siskin.Read}, {Kind: siskin.Rollback}})
	if err != nil {
		return err
	}
	if err := c.settle(deadline); err != nil {
		return err
	}
	if c.strays == strays && answers[0].Code == siskin.Succeeded && began[0].Position.LSN < position {
		n.staleProofs++
	}
	n.compare(target, id, &answers[0])
	return nil
}

// compare compares an answer with what the target ran.
func (n *repeatCounts) compare(target *repeatingTarget, id siskin.RequestID, a *siskin.Answer) {
	ran, ok := target.ran[id]
	switch {
	case a.Code != siskin.Succeeded && ok:
		n.falseRefusals++
	case a.Code == siskin.Succeeded && (!ok || a.Signature != ran.Signature || !slices.Equal(a.Rows, ran.Rows)):
		n.foreign++
	}
}

// TestRepeatedAnswers guards against repeated answers that are taken for those of
// later statements.
func TestRepeatedAnswers(t *testing.T) {
	seed := int64(soak.Seed(1))
	for _, repeats := range []float64{0, 0.05, 0.3} {
		n := playRepeats(seed, 20000, repeats)
		t.Logf("seed %d, %.0f%% repeated: %+v", seed, 100*repeats, n)
		if n.foreign+n.falseRefusals+n.staleProofs+n.staleStates > 0 {
			t.Errorf("%.0f%% of the answers repeated: got %+v, want only own answers", 100*repeats, n)
		}
		if most := n.statements / 20; repeats <= 0.05 && n.broken > most {
			t.Errorf("%.0f%% of the answers repeated: got %d connections given up, want at most %d", 100*repeats, n.broken, most)
		}
	}
}
