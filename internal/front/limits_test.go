package front

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestMaxMessage guards against a message above the limit that is forwarded,
// ends the session or puts it out of sync, and against a changed limit that
// does not take effect.
func TestMaxMessage(t *testing.T) {
	f := startFleetWith(t, 2, nil, func(c *Config) { c.MaxMessage = 32 << 10 })
	small, large := strings.Repeat("x", 20<<10), strings.Repeat("x", 40<<10)
	insert := func(key, value string) string { return "insert into kv values ('" + key + "', '" + value + "')" }
	batch := func(sql string) []pgproto3.FrontendMessage {
		return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}}
	}
	for i, vm := range f.vms {
		c := vm.connectRaw(t, "badges/write")
		refused := func(name string, a rawAnswer) {
			t.Helper()
			if a.types != "EZ" || a.code() != "54000" || a.status != 'I' {
				t.Errorf("%s: got %q %q, want EZ 54000", name, a.types, a.code())
			}
			if a := c.query("select 'own'"); len(a.values) != 1 || a.values[0] != "own" {
				t.Errorf("after %s: got %+v, want the answer to the next query", name, a)
			}
		}
		refused("first query", c.query(insert("large", large)))
		refused("query after a query", c.query(insert("large", large)))
		refused("extended", c.exchange(batch(insert("large", large))...))
		refused("bind", c.exchange(&pgproto3.Parse{Query: "select $1"}, &pgproto3.Bind{Parameters: [][]byte{[]byte(large)}}, &pgproto3.Execute{}, &pgproto3.Sync{}))
		if a := c.query(insert(fmt.Sprintf("small-%d", i), small)); a.code() != "" {
			t.Errorf("within the limit: got %+v, want no error", a.err)
		}
		// The message is refused after part of its batch was sent, so the
		// session ends.
		c.fe.Send(&pgproto3.Parse{Query: "select 1"})
		c.fe.Send(&pgproto3.Flush{})
		c.flush()
		for _, m := range batch(insert("late", large)) {
			c.fe.Send(m)
		}
		c.flush()
		if a := c.read(); a.code() == "" || a.status != 0 || !strings.Contains(a.err.Message, "limit") {
			t.Errorf("after a Flush: got %+v, want an error that names the limit, and the end of the connection", a.err)
		}
	}
	for _, key := range []string{"large", "late"} {
		if got := f.valueAtPrimary(key); got != "" {
			t.Errorf("%s: got %d bytes written, want none", key, len(got))
		}
	}
	vm := f.vms[0]
	c := vm.connectRaw(t, "badges/write")
	vm.front.SetLimits(Limits{MaxMessage: 64 << 10})
	if a := c.query(insert("large", large)); a.code() != "" {
		t.Errorf("after the limit was raised: got %+v, want no error", a.err)
	}
}

// TestSetLimits guards against changed limits that take effect only after a
// restart.
func TestSetLimits(t *testing.T) {
	f := startFleet(t, 1, nil)
	vm := f.vms[0]
	c := vm.connectRaw(t, "badges/write")
	vm.front.SetLimits(Limits{MaxConnections: 1, StartupTimeout: 100 * time.Millisecond})
	if _, err := vm.dialPGX("write", testKey, ""); sqlState(err) != "53300" {
		t.Errorf("above the new limit: got %v, want 53300", err)
	}
	if a := c.query("select 'open'"); a.code() != "" {
		t.Errorf("connection opened before: got %+v, want an answer", a.err)
	}
	silent, began := vm.dialRaw(t), time.Now()
	if a := silent.read(); a.status != 0 || time.Since(began) > 2*time.Second {
		t.Errorf("silent connection: got %+v after %v, want its end at the new limit of 100ms", a, time.Since(began))
	}
	if got, want := vm.front.Limits().MaxMessage, DefaultMaxMessage; got != want {
		t.Errorf("got a limit of %d bytes, want the default %d", got, want)
	}
}
