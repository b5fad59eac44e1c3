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

func (f *fleet) get(key string) string {
	for _, s := range f.targets {
		if s.Store().Status(time.Now()).Role == siskin.RolePrimary {
			v, _ := s.Store().Get(key)
			return v
		}
	}
	return ""
}

// TestWithdrawnKey guards against a key that works on after its withdrawal, on
// idle connections or inside a transaction.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	idle := f.vms[0].raw(t, "badges/write")
	inTx := f.vms[1].raw(t, "badges/write")
	if a := inTx.query("begin"); a.status != 'T' {
		t.Fatalf("got %+v, want a transaction", a)
	}
	f.keys.withdrawn.Store(true)
	start := time.Now()
	if a := idle.read(); a.code() != "28000" || a.status != 0 {
		t.Errorf("idle: got %+v, want 28000 and the end", a)
	}
	if a := inTx.query("insert into kv values ('late', 'x'); commit"); a.code() != "28000" || a.status != 0 {
		t.Errorf("in a transaction: got %+v, want 28000 and the end", a)
	}
	if got, want := time.Since(start), 3*time.Second; got > want {
		t.Errorf("the key worked for %v, want at most %v", got, want)
	}
	if got := f.get("late"); got != "" {
		t.Errorf("a statement after the withdrawal ran: got %q", got)
	}
	if _, err := f.vms[0].tryConnect("write", testKey, ""); sqlState(err) != "28000" {
		t.Errorf("new connection: got %v, want 28000", err)
	}
}

// TestKeyWithdrawnInQueue guards against a request that waited at its home and
// is sent to a target after its key was withdrawn.
func TestKeyWithdrawnInQueue(t *testing.T) {
	f := startFleet(t, 2, nil)
	f.allAtFirst.Store(true) // so that the second VM forwards
	for _, vm := range f.vms {
		vm.own()
	}
	hold := make(chan struct{})
	f.queue.hold.Store(&hold)
	answers := make(chan rawAnswer, len(f.vms))
	for _, vm := range f.vms {
		c := vm.raw(t, "badges/write")
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
		if got := f.get(string(vm.id)); got != "" {
			t.Errorf("%s: a write of a withdrawn key ran", vm.id)
		}
	}
}

// TestMissingConfirmation guards against a write that is acknowledged although
// no replica has it, and against a caller that is left waiting.
func TestMissingConfirmation(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	f.group.noAck.Store(true)
	for _, vm := range f.vms {
		c := vm.raw(t, "badges/short")
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
				t.Errorf("%s: got %q %q %d rows, want 08007 before the commit is told", name, a.types, a.code(), len(a.values))
			}
		}
		f.group.noAck.Store(false)
		if a := c.query("insert into kv values ('" + string(vm.id) + "2', 'x')"); a.code() != "" {
			t.Errorf("next statement: got %+v, want success", a)
		}
		f.group.noAck.Store(true)
	}
}

// TestRefusalsNameTheRemedy guards against refusals without SQLSTATE, remedy or
// time to retry, and against refused work that reaches a target.
func TestRefusalsNameTheRemedy(t *testing.T) {
	f := startFleet(t, 2, nil)
	f.limiter.refuse.Store(true)
	for _, vm := range f.vms {
		c := vm.raw(t, "badges/write")
		a := c.query("insert into kv values ('refused', 'x')")
		if a.code() != "53400" || a.err.Hint == "" || a.err.Detail != "RetryAfter=250ms" || a.status != 'I' {
			t.Errorf("over the rate: got %+v, want 53400 with hint and detail", a.err)
		}
		// An extended batch is discarded up to its Sync.
		a = c.exchange(&pgproto3.Parse{Query: "select 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
		if a.types != "EZ" {
			t.Errorf("extended: got %q, want EZ", a.types)
		}
		a = c.exchange(&pgproto3.Parse{Query: "select 1"}, &pgproto3.Flush{}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
		if a.types != "EZ" {
			t.Errorf("extended with Flush: got %q, want EZ", a.types)
		}
	}
	f.limiter.refuse.Store(false)
	if got := f.get("refused"); got != "" {
		t.Errorf("a refused write ran: got %q", got)
	}
	for name, test := range map[string]struct{ database, key, options, want string }{
		"wrong key":       {"write", "wrong", "", "28P01"},
		"unknown route":   {"nothing", testKey, "", "3D000"},
		"malformed token": {"read", testKey, "siskintray.token=st1.xyz", "22023"},
		"unknown option":  {"read", testKey, "options=-x", "08P01"},
	} {
		_, err := f.vms[0].tryConnect(test.database, test.key, test.options)
		if got := sqlState(err); got != test.want {
			t.Errorf("%s: got %q (%v), want %q", name, got, err, test.want)
		}
		if err != nil && test.key != testKey && strings.Contains(strings.ReplaceAll(err.Error(), "wrong password", ""), test.key+"@") {
			t.Errorf("%s: the key is in the error", name)
		}
	}
}

// TestSettings guards against SET and SHOW statements that reach a target or
// change nothing.
func TestSettings(t *testing.T) {
	f := startFleet(t, 1, nil)
	c := f.vms[0].raw(t, "badges/write")
	if a := c.query("insert into kv values ('a', 'b')"); !strings.Contains(a.types, "S") {
		t.Errorf("got %q, want a token", a.types)
	}
	a := c.query("SHOW siskintray.token;")
	if len(a.values) != 1 || len(a.values[0]) < 20 {
		t.Fatalf("got %+v, want a token", a)
	}
	if a := c.query("set siskintray.token = '" + a.values[0] + "'"); a.types != "CZ" {
		t.Errorf("got %+v, want CZ", a)
	}
	if a := c.query("SET siskintray.token = 'forged'"); a.code() != "22023" {
		t.Errorf("got %+v, want 22023", a)
	}
	if a := c.query("SET siskintray.route = 'read'"); a.types != "CZ" {
		t.Errorf("got %+v, want CZ", a)
	}
	if a := c.query("select v from kv where k = 'a'"); len(a.values) != 1 || a.values[0] != "b" {
		t.Errorf("got %+v, want b", a)
	}
	if a := c.query("insert into kv values ('c', 'd')"); a.code() != "42501" && a.code() != "25006" {
		t.Errorf("write on a read route: got %+v, want an error of the target", a)
	}
	open := f.vms[0].raw(t, "badges/open")
	if a := open.query("select count(*) from kv"); a.code() != "" {
		t.Errorf("open route: got %+v, want an answer", a)
	}
	if a := open.query("SET siskintray.route = 'write'"); a.code() != "28P01" {
		t.Errorf("keyed route without a key: got %+v, want 28P01", a)
	}
}

// TestExtendedErrors guards against a batch that is not skipped up to its Sync,
// and against lost or doubled ParseComplete messages of named statements.
func TestExtendedErrors(t *testing.T) {
	f := startFleet(t, 2, nil)
	for _, vm := range f.vms {
		c := vm.raw(t, "badges/write")
		a := c.exchange(&pgproto3.Parse{Name: "s1", Query: "select v from kv where k = $1"}, &pgproto3.Sync{})
		if a.types != "1Z" {
			t.Errorf("parse: got %q, want 1Z", a.types)
		}
		bind := &pgproto3.Bind{PreparedStatement: "s1", Parameters: [][]byte{[]byte("none")}}
		if a = c.exchange(bind, &pgproto3.Execute{}, &pgproto3.Sync{}); a.types != "2SCZ" && a.types != "2CSZ" {
			t.Errorf("execute: got %q, want BindComplete, token and CommandComplete", a.types)
		}
		a = c.exchange(&pgproto3.Parse{Name: "bad", Query: "no statement"}, bind, &pgproto3.Execute{}, &pgproto3.Sync{})
		if a.types != "EZ" || a.code() != "42601" {
			t.Errorf("bad parse: got %q %q, want EZ 42601", a.types, a.code())
		}
		bad := &pgproto3.Bind{PreparedStatement: "bad"}
		if a = c.exchange(bad, &pgproto3.Execute{}, &pgproto3.Sync{}); a.types != "EZ" || a.code() != "26000" {
			t.Errorf("use of a failed statement: got %q %q, want EZ 26000", a.types, a.code())
		}
		if a = c.exchange(&pgproto3.Close{ObjectType: 'S', Name: "s1"}, &pgproto3.Sync{}); a.types != "3Z" {
			t.Errorf("close: got %q, want 3Z", a.types)
		}
		if a = c.exchange(bind, &pgproto3.Sync{}); a.code() != "26000" {
			t.Errorf("use of a closed statement: got %q, want 26000", a.code())
		}
	}
}

// TestLateAnswerReachesNobody guards against a response that arrives after the
// deadline and is taken for the answer of a later request.
func TestLateAnswerReachesNobody(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, func(_ *target.Config, s *config.Service) { s.ConnectionsPerSlot = 2 })
	for i, vm := range f.vms {
		c := vm.raw(t, "badges/short")
		for j := range 3 {
			if a := c.query("select pg_sleep(0.6)"); a.code() != "08007" {
				t.Errorf("got %+v, want 08007", a)
			}
			want := fmt.Sprintf("own-%d-%d", i, j)
			if a := c.query("select '" + want + "'"); len(a.values) != 1 || a.values[0] != want {
				t.Errorf("got %+v, want %q", a, want)
			}
		}
	}
}

// TestCancelReachesOwnStatement guards against a cancel request that is lost on
// the way to the home of the slot or that hits another caller.
func TestCancelReachesOwnStatement(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, nil)
	for i, vm := range f.vms {
		c, other := vm.raw(t, "badges/write"), vm.raw(t, "badges/write")
		c.fe.Send(&pgproto3.Query{String: "select pg_sleep(4)"})
		c.flush()
		other.fe.Send(&pgproto3.Query{String: "select pg_sleep(0.5)"})
		other.flush()
		time.Sleep(100 * time.Millisecond)
		for _, secret := range [][]byte{{1, 2, 3, 4}, c.key.SecretKey} {
			at := f.vms[(i+1)%3].rawConn(t) // any VM takes the request
			msg, _ := (&pgproto3.CancelRequest{ProcessID: c.key.ProcessID, SecretKey: secret}).Encode(nil)
			if _, err := at.conn.Write(msg); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		if a := c.read(); a.code() != "57014" || time.Since(start) > 2*time.Second {
			t.Errorf("got %+v after %v, want 57014 at once", a, time.Since(start))
		}
		if a := other.read(); a.code() != "" {
			t.Errorf("other caller: got %+v, want its answer", a)
		}
	}
}

// TestGracefulStop guards against a planned stop that cuts a request or keeps
// idle callers.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	idle, running, inTx := f.vms[0].raw(t, "badges/write"), f.vms[0].raw(t, "badges/write"), f.vms[0].raw(t, "badges/write")
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
	if got := f.get("stop"); got != "x" {
		t.Errorf("committed write: got %q, want x", got)
	}
	if _, err := f.vms[0].tryConnect("write", testKey, ""); err == nil {
		t.Error("got a connection after the stop")
	}
}

// TestLostCommitAnswer guards against a write that is run again or called "not
// run" when its answer was lost after it took effect.
func TestLostCommitAnswer(t *testing.T) {
	f := startFleet(t, 2, nil)
	for i, vm := range f.vms {
		c := vm.raw(t, "badges/write")
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

// TestHeldUntilPrimaryIsKnown guards against refused writes while the group
// changes its primary, although the deadline leaves time.
func TestHeldUntilPrimaryIsKnown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	primary := f.group.View().Primary
	f.group.setPrimary("")
	answers := make(chan rawAnswer, len(f.vms))
	for _, vm := range f.vms {
		c := vm.raw(t, "badges/write")
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
	a := f.vms[0].raw(t, "badges/short").query("insert into kv values ('never', 'x')")
	if a.code() != "57P03" || time.Since(start) > time.Second {
		t.Errorf("no primary: got %+v after %v, want 57P03 at the deadline of 300 ms", a, time.Since(start))
	}
}

// TestWriteAtReplacedPrimary guards against a write that is lost between two
// primaries: the old one reports that it ran nothing, so it is sent again.
func TestWriteAtReplacedPrimary(t *testing.T) {
	f := startFleet(t, 2, nil)
	c := f.vms[0].raw(t, "badges/write")
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
	if got := f.get("moved"); got != "x" {
		t.Errorf("got %q, want x", got)
	}
}

// TestLaggingReplica guards against a read that misses its session's write, or
// that fails, while replicas are behind.
func TestLaggingReplica(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	for _, lag := range []time.Duration{30 * time.Millisecond, 400 * time.Millisecond} {
		for _, s := range f.targets[1:] {
			s.SetFaults(func(x *target.Faults) { x.ApplyLag = config.Duration(lag) })
		}
		for i := range 5 {
			c := f.vms[i%2].raw(t, "badges/write")
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
