package front

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
)

func (f *fleet) valueAtPrimary(key string) string {
	for _, s := range f.targets {
		if s.Store().Status(time.Now()).Role == siskin.RolePrimary {
			v, _ := s.Store().Get(key)
			return v
		}
	}
	return ""
}

// TestWithdrawnKey guards against a key that still works after its withdrawal,
// on idle connections or inside a transaction.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	idle := f.vms[0].connectRaw(t, "badges/write")
	inTx := f.vms[1].connectRaw(t, "badges/write")
	if a := inTx.query("begin"); a.status != 'T' {
		t.Fatalf("got %+v, want a transaction", a)
	}
	f.keys.withdrawn.Store(true)
	start := time.Now()
	if a := idle.read(); a.code() != "28000" || a.status != 0 {
		t.Errorf("idle: got %+v, want 28000 and the end of the connection", a)
	}
	if a := inTx.query("insert into kv values ('late', 'x'); commit"); a.code() != "28000" || a.status != 0 {
		t.Errorf("in a transaction: got %+v, want 28000 and the end of the connection", a)
	}
	if got, want := time.Since(start), 3*time.Second; got > want {
		t.Errorf("the key worked for %v, want at most %v", got, want)
	}
	if got := f.valueAtPrimary("late"); got != "" {
		t.Errorf("a statement after the withdrawal ran: got %q", got)
	}
	if _, err := f.vms[0].dialPGX("write", testKey, ""); sqlState(err) != "28000" {
		t.Errorf("new connection: got %v, want 28000", err)
	}
}

// TestKeyWithdrawnInQueue guards against a queued request that the home sends
// to a target after its key was withdrawn.
func TestKeyWithdrawnInQueue(t *testing.T) {
	f := startFleet(t, 2, nil)
	f.firstOwnsAll.Store(true) // so that the second VM forwards
	for _, vm := range f.vms {
		vm.ownSlots()
	}
	hold := make(chan struct{})
	f.queue.hold.Store(&hold)
	answers := make(chan rawAnswer, len(f.vms))
	for _, vm := range f.vms {
		c := vm.connectRaw(t, "badges/write")
		go func() { answers <- c.query("insert into kv values ('" + string(vm.id) + "', 'x')") }()
	}
	time.Sleep(100 * time.Millisecond)
	f.keys.withdrawn.Store(true)
	close(hold)
	for range f.vms {
		if a := <-answers; a.code() != "28000" {
			t.Errorf("got %+v, want 28000", a.err)
		}
	}
	for _, vm := range f.vms {
		if got := f.valueAtPrimary(string(vm.id)); got != "" {
			t.Errorf("%s: a write of a withdrawn key ran", vm.id)
		}
	}
}

// TestMissingConfirmation guards against a write that is acknowledged although
// no replica has received it, and against a caller that gets no answer.
func TestMissingConfirmation(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	f.group.noAck.Store(true)
	for _, vm := range f.vms {
		c := vm.connectRaw(t, "badges/short")
		start := time.Now()
		a := c.query("insert into kv values ('" + string(vm.id) + "', 'x')")
		if a.code() != "08007" || strings.Contains(a.types, "C") || a.status != 'I' {
			t.Errorf("got %+v, want 08007 without CommandComplete", a)
		}
		if got, want := time.Since(start), 2*time.Second; got > want {
			t.Errorf("got the answer after %v, want at most %v", got, want)
		}
		for name, test := range map[string]struct {
			a    rawAnswer
			tags int
		}{
			"commit before rows": {c.query("begin; insert into kv values ('r" + string(vm.id) + "', 'x'); commit; select generate_series(1, 5000)"), 2},
			"close after execute": {c.exchange(&pgproto3.Parse{Query: "insert into kv values ('c" + string(vm.id) + "', 'x')"}, &pgproto3.Bind{},
				&pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'P'}, &pgproto3.Sync{}), 0},
		} {
			a := test.a
			if a.code() != "08007" || strings.Count(a.types, "C") != test.tags || len(a.values) > 0 || a.status != 'I' {
				t.Errorf("%s: got %q %q %d rows, want 08007 before CommandComplete of the commit", name, a.types, a.code(), len(a.values))
			}
		}
		f.group.noAck.Store(false)
		if a := c.query("insert into kv values ('" + string(vm.id) + "2', 'x')"); a.code() != "" {
			t.Errorf("next statement: got %+v, want success", a)
		}
		f.group.noAck.Store(true)
	}
}

// TestGracefulStop guards against a planned stop that aborts a request or
// leaves idle connections open.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	idle, running, inTx := f.vms[0].connectRaw(t, "badges/write"), f.vms[0].connectRaw(t, "badges/write"), f.vms[0].connectRaw(t, "badges/write")
	running.fe.Send(&pgproto3.Query{String: "select pg_sleep(0.4)"})
	running.flush()
	if a := inTx.query("begin; insert into kv values ('stop', 'x')"); a.status != 'T' {
		t.Fatalf("got %+v, want a transaction", a)
	}
	time.Sleep(100 * time.Millisecond)
	closed := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		f.vms[0].front.Close(ctx)
		close(closed)
	}()
	if a := idle.read(); a.code() != "57P01" {
		t.Errorf("idle: got %+v, want 57P01", a)
	}
	if a := running.read(); a.code() != "" || a.status != 'I' {
		t.Errorf("running: got %+v, want its answer", a)
	}
	if a := inTx.query("commit"); a.code() != "" || a.status != 'I' {
		t.Errorf("in a transaction: got %+v, want its commit", a)
	}
	<-closed
	if got := f.valueAtPrimary("stop"); got != "x" {
		t.Errorf("committed write: got %q, want x", got)
	}
	if _, err := f.vms[0].dialPGX("write", testKey, ""); err == nil {
		t.Error("got a connection after the stop")
	}
}

// TestLostCommitAnswer guards against a write that is retried or reported as
// not run, although it took effect and only its answer was lost.
func TestLostCommitAnswer(t *testing.T) {
	f := startFleet(t, 2, nil)
	for i, vm := range f.vms {
		c := vm.connectRaw(t, "badges/write")
		f.targets[0].LoseAnswers("COMMIT", 1)
		before := len(f.targets[0].Store().Records())
		a := c.query(fmt.Sprintf("insert into kv values ('lost%d', 'x')", i))
		if a.code() != "08007" || a.status != 'I' {
			t.Errorf("got %+v, want 08007", a)
		}
		if got := len(f.targets[0].Store().Records()) - before; got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
	}
}

// TestWriteWaitsForPrimary guards against refused writes while the group
// changes its primary, although their deadline is not over.
func TestWriteWaitsForPrimary(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	primary := f.group.View().Primary
	f.group.setPrimary("")
	answers := make(chan rawAnswer, len(f.vms))
	for _, vm := range f.vms {
		c := vm.connectRaw(t, "badges/write")
		go func() { answers <- c.query("insert into kv values ('" + string(vm.id) + "', 'held')") }()
	}
	time.Sleep(300 * time.Millisecond)
	f.group.setPrimary(primary)
	for range f.vms {
		if a := <-answers; a.code() != "" {
			t.Errorf("got %+v, want success", a)
		}
	}
	f.group.setPrimary("")
	start := time.Now()
	a := f.vms[0].connectRaw(t, "badges/short").query("insert into kv values ('never', 'x')")
	if a.code() != "57P03" || time.Since(start) > time.Second {
		t.Errorf("no primary: got %+v after %v, want 57P03 at the deadline of 300 ms", a, time.Since(start))
	}
}

// TestWriteAtReplacedPrimary guards against a lost write while the primary
// changes: a target that is not the primary refuses it without effect, so it
// must be sent again.
func TestWriteAtReplacedPrimary(t *testing.T) {
	f := startFleet(t, 2, nil)
	c := f.vms[0].connectRaw(t, "badges/write")
	for i := range 20 { // fill the retry budget
		if a := c.query(fmt.Sprintf("insert into kv values ('fill%d', 'x')", i)); a.code() != "" {
			t.Fatal(a)
		}
	}
	f.group.setPrimary(f.targets[1].ID()) // a replica, so it refuses
	time.AfterFunc(50*time.Millisecond, func() { f.group.setPrimary(f.targets[0].ID()) })
	if a := c.query("insert into kv values ('moved', 'x')"); a.code() != "" {
		t.Errorf("got %+v, want success at the primary", a)
	}
	if got := f.valueAtPrimary("moved"); got != "x" {
		t.Errorf("got %q, want x", got)
	}
}

// TestLaggingReplica guards against a read that misses its session's write, or
// that fails, while replicas lag.
func TestLaggingReplica(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	for _, lag := range []time.Duration{30 * time.Millisecond, 400 * time.Millisecond} {
		for _, s := range f.targets[1:] {
			s.SetFaults(func(x *target.Faults) { x.ApplyLag = config.Duration(lag) })
		}
		for i := range 5 {
			c := f.vms[i%2].connectRaw(t, "badges/write")
			key := fmt.Sprintf("lag-%v-%d", lag, i)
			if a := c.query("insert into kv values ('" + key + "', 'x')"); a.code() != "" {
				t.Fatal(a)
			}
			c.query("SET siskintray.route = 'read'")
			if a := c.query("select v from kv where k = '" + key + "'"); len(a.values) != 1 {
				t.Errorf("lag %v: got %+v, want the session's own write", lag, a)
			}
		}
		st := f.vms[0].front.Stats()
		t.Logf("lag %v: %d reads at replicas, %d at the primary", lag, st.ReplicaReads, st.PrimaryReads)
	}
}
