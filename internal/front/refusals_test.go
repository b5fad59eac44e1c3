package front

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
)

// TestRefusalsCarryHint guards against refusals without SQLSTATE, hint or retry
// time, and against refused work that reaches a target.
func TestRefusalsCarryHint(t *testing.T) {
	f := startFleet(t, 2, nil)
	f.limiter.refuse.Store(true)
	for _, vm := range f.vms {
		c := vm.connectRaw(t, "badges/write")
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
	if got := f.valueAtPrimary("refused"); got != "" {
		t.Errorf("a refused write ran: got %q", got)
	}
	for name, test := range map[string]struct{ database, key, options, want string }{
		"wrong key":       {"write", "wrong", "", "28P01"},
		"unknown route":   {"nothing", testKey, "", "3D000"},
		"malformed token": {"read", testKey, "siskintray.token=st1.xyz", "22023"},
		"unknown option":  {"read", testKey, "options=-x", "08P01"},
	} {
		_, err := f.vms[0].dialPGX(test.database, test.key, test.options)
		if got := sqlState(err); got != test.want {
			t.Errorf("%s: got %q (%v), want %q", name, got, err, test.want)
		}
		if err != nil && test.key != testKey && strings.Contains(strings.ReplaceAll(err.Error(), "wrong password", ""), test.key+"@") {
			t.Errorf("%s: the key is in the error", name)
		}
	}
}

// TestSettings guards against SET and SHOW statements of the proxy's settings
// that are sent to a target or have no effect.
func TestSettings(t *testing.T) {
	f := startFleet(t, 1, nil)
	c := f.vms[0].connectRaw(t, "badges/write")
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
	open := f.vms[0].connectRaw(t, "badges/open")
	if a := open.query("select count(*) from kv"); a.code() != "" {
		t.Errorf("open route: got %+v, want an answer", a)
	}
	if a := open.query("SET siskintray.route = 'write'"); a.code() != "28P01" {
		t.Errorf("keyed route without a key: got %+v, want 28P01", a)
	}
}

// TestExtendedErrors guards against a failed batch that is not skipped up to
// its Sync, and against missing or duplicate ParseComplete messages for named
// statements.
func TestExtendedErrors(t *testing.T) {
	f := startFleet(t, 2, nil)
	for _, vm := range f.vms {
		c := vm.connectRaw(t, "badges/write")
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

// TestStatementInTransaction guards against a transaction that loses its
// prepared statements between two batches, to the proxy's own query.
func TestStatementInTransaction(t *testing.T) {
	f := startFleet(t, 2, nil)
	for _, vm := range f.vms {
		c := vm.connectRaw(t, "badges/write")
		c.query("begin")
		for _, name := range []string{"s1", ""} {
			a := c.exchange(&pgproto3.Parse{Name: name, Query: "select v from kv where k = $1"}, &pgproto3.Sync{})
			if a.types != "1Z" {
				t.Errorf("parse of %q: got %q, want 1Z", name, a.types)
			}
			bind := &pgproto3.Bind{PreparedStatement: name, Parameters: [][]byte{[]byte("none")}}
			for i := range 3 {
				if a = c.exchange(bind, &pgproto3.Execute{}, &pgproto3.Sync{}); a.types != "2CZ" {
					t.Errorf("execution %d of %q: got %q %q, want 2CZ", i, name, a.types, a.code())
				}
			}
		}
		if a := c.query("rollback"); a.code() != "" {
			t.Errorf("rollback: got %q, want no error", a.code())
		}
	}
}

// TestLateAnswerReachesNobody guards against an answer that arrives after the
// deadline and is sent as the answer to a later request.
func TestLateAnswerReachesNobody(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, func(_ *target.Config, s *config.Service) { s.ConnectionsPerSlot = 2 })
	for i, vm := range f.vms {
		c := vm.connectRaw(t, "badges/short")
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

// TestCancelReachesOwnStatement guards against a cancel request that does not
// reach the home of the slot or that cancels the statement of another caller.
func TestCancelReachesOwnStatement(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, nil)
	for i, vm := range f.vms {
		c, other := vm.connectRaw(t, "badges/write"), vm.connectRaw(t, "badges/write")
		c.fe.Send(&pgproto3.Query{String: "select pg_sleep(4)"})
		c.flush()
		other.fe.Send(&pgproto3.Query{String: "select pg_sleep(0.5)"})
		other.flush()
		time.Sleep(100 * time.Millisecond)
		for _, secret := range [][]byte{{1, 2, 3, 4}, c.key.SecretKey} {
			at := f.vms[(i+1)%3].dialRaw(t) // any VM accepts the request
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
