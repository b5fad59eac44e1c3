package home

import (
	"context"
	"maps"
	"os"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/views"
)

// lateTarget is a target and the connection to it. It answers each statement
// once, and sends the answers in late when the next exchange begins.
type lateTarget struct {
	state     siskin.TxState
	primary   bool
	busy      bool // STATUS is refused
	lagging   bool // BEGIN READ with a floor is refused
	refusing  bool // SET is refused
	busyReads int  // number of reads that are refused next
	values    map[string]string
	ranWith   map[string]string // the values of the latest write
	lsn       siskin.LSN
	signed    int
	outside   int // reads that ran outside of a transaction
	sent      []siskin.StatementKind
	answered  []siskin.Answer // all answers so far
	late      []siskin.Answer
	stream    []siskin.Answer
}

func (t *lateTarget) Position() siskin.Position { return siskin.Position{Term: 1, LSN: t.lsn} }
func (t *lateTarget) Close() error              { return nil }
func (t *lateTarget) Unread() bool              { return len(t.stream) > 0 }

func (t *lateTarget) Receive(time.Time) (siskin.Answer, error) {
	if len(t.stream) == 0 {
		return siskin.Answer{}, os.ErrDeadlineExceeded
	}
	a := t.stream[0]
	t.stream = t.stream[1:]
	return a, nil
}

func (t *lateTarget) Exchange(deadline time.Time, list []siskin.Statement) ([]siskin.Answer, error) {
	t.stream, t.late = append(t.stream, t.late...), nil
	for i := range list {
		a := t.run(&list[i])
		t.sent = append(t.sent, list[i].Kind)
		t.answered, t.stream = append(t.answered, a), append(t.stream, a)
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

func (t *lateTarget) run(s *siskin.Statement) siskin.Answer {
	a := siskin.Answer{}
	switch {
	case isControl(s.Kind) && t.busy:
		a.Code = siskin.Busy
	case isControl(s.Kind):
		a.Rows = []string{"replica 1 1." + strings.Repeat("1", int(t.lsn)) + " 0 0 0 1"}
	case s.Kind == siskin.Begin && !t.primary:
		a.Code = siskin.ReadOnly
	case s.Kind == siskin.BeginRead && !s.Floor.IsZero() && t.lagging:
		a.Code = siskin.Lagging
	case s.Kind == siskin.SetValue && t.refusing:
		a.Code = siskin.Busy
	case s.Kind == siskin.SetValue:
		t.values[s.Name] = s.Text
	case s.Kind == siskin.Read && t.busyReads > 0:
		t.busyReads--
		a.Code = siskin.Busy
	case isSigned(s.Kind):
		if s.Kind == siskin.Write {
			t.ranWith = maps.Clone(t.values)
		}
		if s.Kind == siskin.Read && t.state == siskin.TxIdle {
			t.outside++
		}
		t.signed++
		a.Signature, a.Rows = "t."+strings.Repeat("x", t.signed), []string{"row"}
	}
	if a.Code == siskin.Succeeded {
		t.state = stateAfter(s.Kind, t.state)
	}
	a.State, a.Position = t.state, t.Position()
	return a
}

// repeat sends the latest answer to a statement of the kind again with the next
// exchange.
func (t *lateTarget) repeat(k siskin.StatementKind) {
	for i := len(t.sent) - 1; i >= 0; i-- {
		if t.sent[i] == k {
			t.late = append(t.late, t.answered[i])
			return
		}
	}
}

type lateConnector struct{ t *lateTarget }

func (c lateConnector) Connect(context.Context, siskin.TargetInfo, siskin.CustomerID) (siskin.TargetConn, error) {
	return c.t, nil
}

func startLate(t *testing.T, target *lateTarget) *Homes {
	t.Helper()
	target.values = make(map[string]string)
	h := New(Config{
		Clock: boot.Clock{}, Views: views.New(), Connector: lateConnector{target},
		Limit: func(siskin.TargetInfo) int { return 1 }, IsHome: func(siskin.TargetInfo) bool { return true },
		Target: func(id siskin.TargetID) (siskin.TargetInfo, bool) {
			return siskin.TargetInfo{ID: id, Service: "ledger", Address: "none", Slots: 2}, true
		},
	})
	t.Cleanup(func() { _ = h.Close() })
	return h
}

// TestLeadProofOfRepeatedBegin guards against rows of a target that has lost the
// lead, which count as those of the primary because the repeated answer to an
// earlier BEGIN hides the refusal.
func TestLeadProofOfRepeatedBegin(t *testing.T) {
	target := &lateTarget{primary: true}
	h := startLate(t, target)
	read := func() Reply {
		return h.Run(context.Background(), &Request{
			Statement: siskin.Statement{ID: "1", Kind: siskin.Read, Text: "x"}, Service: "ledger", Target: "i-1", Customer: "acme",
			Proof: LeadProof, Timeout: time.Second, QueueTimeout: time.Second,
		})
	}
	if got := read(); got.Outcome != Answered || got.Answer.Code != siskin.Succeeded {
		t.Fatalf("read at the primary: got %+v, want success", got)
	}
	target.primary = false
	target.repeat(siskin.Begin)
	got := read()
	if got.Outcome == Answered && got.Answer.Code == siskin.Succeeded {
		t.Errorf("read at a target that has lost the lead: got the success %+v, want none", got.Answer)
	}
}

// TestRepeatedStatusBeforeBusy guards against an old status that counts as new,
// because its repetition hides that the target refused the new STATUS as BUSY.
func TestRepeatedStatusBeforeBusy(t *testing.T) {
	for n := range 1<<settleBits + 1 {
		target := &lateTarget{lsn: 1}
		h := startLate(t, target)
		status := func() ([]siskin.Answer, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			return h.Control(ctx, "i-1", siskin.Statement{Kind: siskin.Status})
		}
		for range n {
			if _, err := status(); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := status(); err != nil {
			t.Fatal(err)
		}
		target.lsn, target.busy = 2, true
		target.repeat(siskin.Status)
		if answers, err := status(); err == nil && answers[0].Code == siskin.Succeeded {
			t.Errorf("after %d exchanges: got the status %q at position 2, want BUSY or an error", n+1, answers[0].Rows)
		}
	}
}

// TestRepeatedControlTransaction guards against a lead that counts as proven,
// because the repeated answers to an earlier BEGIN and ROLLBACK hide a refusal.
func TestRepeatedControlTransaction(t *testing.T) {
	for n := range 1<<settleBits + 1 {
		target := &lateTarget{primary: true}
		h := startLate(t, target)
		for range n + 1 {
			if _, err := h.ProbePrimary(context.Background(), "ledger", "i-1"); err != nil {
				t.Fatal(err)
			}
		}
		target.primary = false
		target.repeat(siskin.Begin)
		target.repeat(siskin.Rollback)
		if _, err := h.ProbePrimary(context.Background(), "ledger", "i-1"); err == nil {
			t.Errorf("after %d probes: got a proof of a target that has lost the lead, want an error", n+1)
		}
	}
}

// TestRepeatedSetup guards against a write that runs with other values than those
// of its session, because the answers to an earlier setup, repeated together,
// hide that the target refused a SET.
func TestRepeatedSetup(t *testing.T) {
	target := &lateTarget{primary: true}
	h := startLate(t, target)
	write := func(value string) Reply {
		return h.Run(context.Background(), &Request{
			Statement: siskin.Statement{ID: "1", Kind: siskin.Write, Text: "x 1"}, Service: "ledger", Target: "i-1", Customer: "acme",
			Values: []Value{{"v", value}}, Timeout: time.Second, QueueTimeout: time.Second,
		})
	}
	if got := write("1"); got.Outcome != Answered || got.Answer.Code != siskin.Succeeded {
		t.Fatalf("first write: got %+v, want success", got)
	}
	target.refusing = true
	for _, k := range []siskin.StatementKind{siskin.SetValue, siskin.BeginRead, siskin.Rollback} {
		target.repeat(k)
	}
	target.ranWith = nil
	if got := write("2"); target.ranWith != nil && target.ranWith["v"] != "2" {
		t.Errorf("write of a session with the value 2: ran with %v and got %+v, want no run", target.ranWith, got.Answer)
	}
	target.ranWith = nil
	if got := write("2"); target.ranWith != nil && target.ranWith["v"] != "2" {
		t.Errorf("next write with the value 2: ran with %v and got %+v, want no run", target.ranWith, got.Answer)
	}
}

// TestRepeatedOpen guards against a read that runs outside of its transaction,
// because the answers to the opening of an earlier transaction, repeated together,
// hide that the target refused the BEGIN.
func TestRepeatedOpen(t *testing.T) {
	target := &lateTarget{primary: true}
	h := startLate(t, target)
	req := Request{
		Statement: siskin.Statement{ID: "1", Kind: siskin.Read, Text: "x"}, Service: "ledger", Target: "i-1", Customer: "acme",
		Mode: Open, Proof: FloorProof, Floor: siskin.Position{Term: 1, LSN: 1}, Timeout: time.Second, QueueTimeout: time.Second, TxIdleTimeout: time.Minute,
	}
	for range 2 {
		got := h.Run(context.Background(), &req)
		if got.Outcome != Answered || got.Answer.Code != siskin.Succeeded {
			t.Fatalf("transaction: got %+v, want success", got)
		}
		end := req
		end.Statement, end.Mode, end.Tx = siskin.Statement{ID: "2", Kind: siskin.Rollback}, Continue, got.Tx
		h.Run(context.Background(), &end)
	}
	target.lagging = true
	for _, k := range []siskin.StatementKind{siskin.BeginRead, siskin.Prepare, siskin.Deallocate} {
		target.repeat(k)
	}
	got := h.Run(context.Background(), &req)
	if target.outside > 0 {
		t.Errorf("reads outside of the transaction: got %d and the answer %+v, want 0", target.outside, got.Answer)
	}
}

// TestStrayErrorInTransaction guards against a wait until the deadline, and a
// target that counts as silent, after a repeated refusal from outside of a
// transaction came in between the statements of one.
func TestStrayErrorInTransaction(t *testing.T) {
	target := &lateTarget{primary: true, busyReads: 1}
	h := startLate(t, target)
	req := Request{
		Statement: siskin.Statement{ID: "1", Kind: siskin.Read, Text: "x"}, Service: "ledger", Target: "i-1", Customer: "acme",
		Timeout: time.Second, QueueTimeout: time.Second, TxIdleTimeout: time.Minute,
	}
	if got := h.Run(context.Background(), &req); got.Answer.Code != siskin.Busy {
		t.Fatalf("read at a busy target: got %+v, want BUSY", got)
	}
	l, _ := h.pools.Get("i-1")
	for _, idle, _ := l.counts(); idle == 0; _, idle, _ = l.counts() {
		time.Sleep(time.Millisecond) // the refusal is being settled
	}
	refusal := target.answered[0]
	open := req
	open.Mode, open.Proof = Open, FloorProof
	got := h.Run(context.Background(), &open)
	if got.Outcome != Answered || got.Answer.Code != siskin.Succeeded {
		t.Fatalf("transaction: got %+v, want success", got)
	}
	target.late = append(target.late, refusal)
	next := req
	next.Mode, next.Tx, next.Values = Continue, got.Tx, []Value{{"v", "1"}}
	if got := h.Run(context.Background(), &next); got.Cause == Silent {
		t.Errorf("read with a new value in the transaction: got %v %v, want no wait until the deadline", got.Outcome, got.Cause)
	}
}
