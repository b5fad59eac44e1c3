package home

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

// execution returns a request that runs a prepared statement.
func execution(target *stand.Target, p Prepared, arguments string) *Request {
	req := request(target, siskin.Execute, arguments)
	req.Statement.Name, req.Statement.Writes, req.Prepared = "mine", p.Writes, p
	return req
}

// takeRecords returns what the targets ran since the last call.
func (f *fixture) takeRecords() []stand.Record {
	list := f.platform.Records("ledger")
	fresh := list[f.recordsTaken:]
	f.recordsTaken = len(list)
	return fresh
}

// definition returns what a target runs for a prepared statement.
func definition(p Prepared) string {
	if p.Writes {
		return "WRITE " + p.Shape
	}
	return "READ " + p.Shape
}

// TestShapeIsNoName guards against a shape that decides which statement runs,
// its own or that of another session.
func TestShapeIsNoName(t *testing.T) {
	f := start(t, stand.ServiceOptions{})
	f.limit = 1
	primary := f.target(0)
	f.platform.RecordStatements("ledger")
	for _, step := range []struct {
		prepared  Prepared
		arguments string
	}{
		{Prepared{Shape: "q2 READ psvocxu", Writes: true}, "1f0 wyxz0"},
		{Prepared{Shape: "q2", Writes: true}, "1f1 wyxz1"},
		{Prepared{Shape: "q2 READ psvocxu", Writes: true}, "1f0 wyxz2"},
		{Prepared{Shape: "q2"}, "1f1"},
		{Prepared{Shape: " q2"}, "1f1"},
	} {
		reply := f.run(execution(primary, step.prepared, step.arguments))
		if reply.Outcome != Answered || reply.Answer.Code != siskin.Succeeded {
			t.Errorf("execution of %q: got outcome %d with %v, want success", step.prepared.Shape, reply.Outcome, reply.Answer.Code)
		}
		for _, got := range f.takeRecords() {
			if want := definition(step.prepared); got.Shape != want || got.Args != step.arguments {
				t.Errorf("execution at the target: got %q with %q, want %q with %q", got.Shape, got.Args, want, step.arguments)
			}
		}
	}
}

// TestSharedStatement guards against preparing a shape again for each session of
// a customer.
func TestSharedStatement(t *testing.T) {
	c := newConn(nil, "acme", time.Time{})
	first := &Request{Statement: siskin.Statement{Kind: siskin.Execute, Name: "mine"}, Prepared: Prepared{Shape: "q1"}}
	setup := c.syncSession(first)
	if got, want := len(setup), 1; got != want {
		t.Errorf("statements before the first execution: got %d, want %d", got, want)
	}
	c.applied(setup, len(setup))
	second := &Request{Statement: siskin.Statement{Kind: siskin.Execute, Name: "other"}, Prepared: first.Prepared}
	if got := c.syncSession(second); len(got) > 0 {
		t.Errorf("statements before the execution of another session: got %v, want none", got)
	}
	if got, want := c.targetStatement(second, nil).Name, c.targetStatement(first, setup).Name; got != want || got == "" {
		t.Errorf("name of the other session: got %q, want %q", got, want)
	}
}

// TestUnacceptedState guards against values and names that count as set although
// the target has not accepted them.
func TestUnacceptedState(t *testing.T) {
	c := newConn(nil, "acme", time.Time{})
	other := &Request{Values: []Value{{"old", "1"}}}
	setup := c.syncSession(other)
	c.applied(setup, len(setup))
	req := &Request{
		Statement: siskin.Statement{Kind: siskin.Execute, Name: "mine"}, Prepared: Prepared{Shape: "q1"}, Values: []Value{{"a", "1"}, {"b", "2"}},
	}
	for accepted, want := range []int{4, 3, 2, 1, 0} {
		setup := c.syncSession(req)
		if got := len(setup); got != want {
			t.Errorf("statements after %d were accepted: got %d, want %d", accepted, got, want)
		}
		c.applied(setup, min(1, len(setup)))
	}
}

// TestForgottenStatement guards against a connection that returns from a
// transaction with names that the target does not have.
func TestForgottenStatement(t *testing.T) {
	f := start(t, stand.ServiceOptions{})
	f.limit = 1
	primary := f.target(0)
	read := execution(primary, Prepared{Shape: "q2"}, "x")
	if got := f.run(read); got.Answer.Code != siskin.Succeeded || got.Outcome != Answered {
		t.Fatalf("first execution: got %+v, want success", got)
	}
	open := request(primary, siskin.Write, "x 1")
	open.Mode, open.Proof = Open, LeadProof
	begun := f.run(open)
	primary.ForgetPrepared()
	read.Mode, read.Tx = Continue, begun.Tx
	if got := f.run(read); got.Answer.Code != siskin.NoStatement {
		t.Fatalf("execution in the transaction: got %+v, want NoStatement", got)
	}
	rollback := request(primary, siskin.Rollback, "")
	rollback.Mode, rollback.Tx = Continue, begun.Tx
	f.run(rollback)
	read.Mode, read.Tx = Single, 0
	if got := f.run(read); got.Answer.Code != siskin.Succeeded || got.Outcome != Answered {
		t.Errorf("execution after the transaction: got %+v, want success", got)
	}
}

// TestManyShapes guards against connections that collect prepared statements,
// and against dropping one that is in use.
func TestManyShapes(t *testing.T) {
	for _, mode := range []TxMode{Single, Continue} {
		f := start(t, stand.ServiceOptions{})
		f.limit = 1
		primary := f.target(0)
		open := request(primary, siskin.Write, "x 1")
		open.Mode, open.Proof = Open, LeadProof
		var tx TxID
		if mode == Continue {
			tx = f.run(open).Tx
		}
		f.platform.RecordStatements("ledger")
		usual := Prepared{Shape: "usual"}
		for i := range 4 * maxPreparedCount {
			for _, p := range []Prepared{usual, {Shape: "q" + strconv.Itoa(i)}} {
				req := execution(primary, p, "x")
				req.Mode, req.Tx = mode, tx
				if got := f.run(req); got.Outcome != Answered || got.Answer.Code != siskin.Succeeded {
					t.Fatalf("mode %d, execution of %q: got outcome %d with %v, want success", mode, p.Shape, got.Outcome, got.Answer.Code)
				}
				for _, got := range f.takeRecords() {
					if want := definition(p); got.Shape != want {
						t.Errorf("mode %d: got %q, want %q", mode, got.Shape, want)
					}
				}
			}
		}
		if got, want := primary.MostPrepared(), maxPreparedCount; got > want {
			t.Errorf("mode %d, prepared statements on a connection: got %d, want at most %d", mode, got, want)
		}
	}
}

// TestLongShapes guards against connections that hold the texts of many long
// shapes, and against shapes that are too long to be prepared.
func TestLongShapes(t *testing.T) {
	c := newConn(nil, "acme", time.Time{})
	for i := range 8 {
		req := &Request{Statement: siskin.Statement{Kind: siskin.Execute}, Prepared: Prepared{Shape: strconv.Itoa(i) + strings.Repeat("q", int(maxPreparedSize)/2)}}
		if i == 7 {
			req.Prepared.Shape = strings.Repeat(req.Prepared.Shape, 4)
		}
		setup := c.syncSession(req)
		c.applied(setup, len(setup))
		if _, ok := c.prepared.names[req.Prepared]; !ok {
			t.Errorf("shape of %d bytes: got no name", len(req.Prepared.Shape))
		}
		var size siskin.Bytes
		for p := range c.prepared.names {
			size += siskin.Bytes(len(p.Shape))
		}
		if size > maxPreparedSize && len(c.prepared.names) > 1 {
			t.Errorf("shapes on the connection: got %d bytes, want at most %d", size, maxPreparedSize)
		}
	}
}

// TestRolledBackValues guards against a connection that counts values as set
// which a target has rolled back with their transaction.
func TestRolledBackValues(t *testing.T) {
	for _, reverts := range []bool{false, true} {
		f := start(t, stand.ServiceOptions{})
		f.limit = 1
		primary := f.target(0)
		f.platform.RecordStatements("ledger")
		primary.RevertSettings(reverts)
		open := request(primary, siskin.Write, "x 1")
		open.Mode, open.Proof, open.Values = Open, LeadProof, []Value{{"mode", "a"}}
		read := request(primary, siskin.Read, "x")
		read.Mode, read.Tx, read.Values = Continue, f.run(open).Tx, []Value{{"mode", "b"}}
		f.run(read)
		rollback := request(primary, siskin.Rollback, "")
		rollback.Mode, rollback.Tx = Continue, read.Tx
		f.run(rollback)
		read.Mode, read.Tx = Single, 0
		f.run(read)
		var got []string
		for _, x := range f.takeRecords() {
			got = append(got, x.Values["mode"])
		}
		if want := []string{"a", "b", "b"}; !slices.Equal(got, want) {
			t.Errorf("values at a target that reverts them (%t): got %q, want %q", reverts, got, want)
		}
	}
}
