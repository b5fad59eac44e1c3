package front

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// eachPath runs a test on the VM that owns all slots and on one that forwards.
func eachPath(t *testing.T, run func(t *testing.T, f *fleet, vm *testVM)) {
	f := startFleet(t, 2, nil)
	f.firstOwnsAll.Store(true)
	for _, vm := range f.vms {
		vm.ownSlots()
	}
	for i, name := range []string{"local", "forwarded"} {
		t.Run(name, func(t *testing.T) { run(t, f, f.vms[i]) })
	}
}

// TestBatchesOfAnySize guards against a deadlock when the answer fills the
// buffers before the batch is sent completely.
func TestBatchesOfAnySize(t *testing.T) {
	t.Parallel()
	eachPath(t, func(t *testing.T, _ *fleet, vm *testVM) {
		c := vm.connectRaw(t, "badges/write")
		for _, n := range []int{1, 300, 4000} { // smaller and larger than one buffer
			c.fe.Send(&pgproto3.Parse{Query: "select generate_series(1, 300)"})
			for range n {
				c.fe.Send(&pgproto3.Bind{})
				c.fe.Send(&pgproto3.Execute{})
			}
			c.fe.Send(&pgproto3.Sync{})
			sent := make(chan error, 1)
			go func() { sent <- c.fe.Flush() }()
			a := c.read()
			if err := <-sent; err != nil || a.code() != "" || len(a.values) != 300*n || a.status != 'I' {
				t.Errorf("%d statements: got %v %+v, %d rows, status %q, want %d rows", n, err, a.err, len(a.values), a.status, 300*n)
			}
		}
	})
}

// TestFlush guards against answers that are buffered until the Sync although
// the caller sent a Flush.
func TestFlush(t *testing.T) {
	eachPath(t, func(t *testing.T, _ *fleet, vm *testVM) {
		c := vm.connectRaw(t, "badges/write")
		c.fe.Send(&pgproto3.Parse{Name: "f", Query: "select 'x'"})
		c.fe.Send(&pgproto3.Flush{})
		c.flush()
		if msg, ok := c.receive().(*pgproto3.ParseComplete); !ok {
			t.Fatalf("got %T, want ParseComplete", msg)
		}
		c.fe.Send(&pgproto3.Bind{PreparedStatement: "f"})
		c.fe.Send(&pgproto3.Flush{})
		c.flush()
		if msg, ok := c.receive().(*pgproto3.BindComplete); !ok {
			t.Fatalf("got %T, want BindComplete", msg)
		}
		if a := c.exchange(&pgproto3.Execute{}, &pgproto3.Sync{}); len(a.values) != 1 || a.status != 'I' {
			t.Errorf("got %+v, want one row", a)
		}
	})
}

// TestFailedCopy guards against CopyData messages that are read as statements
// after an error, and against a connection that is out of sync afterwards.
func TestFailedCopy(t *testing.T) {
	eachPath(t, func(t *testing.T, f *fleet, vm *testVM) {
		c := vm.connectRaw(t, "badges/write")
		copyIn := &pgproto3.Query{String: "copy kv from stdin"}
		a := c.exchange(copyIn, &pgproto3.CopyData{Data: []byte("a\tb\n")}, &pgproto3.CopyFail{Message: "stop"})
		if a.code() != "57014" || a.status != 'I' {
			t.Errorf("CopyFail: got %+v %q, want 57014", a.err, a.status)
		}
		c.fe.Send(copyIn)
		c.fe.Send(&pgproto3.CopyData{Data: []byte("no columns\n")})
		for i := range 200 {
			c.fe.Send(&pgproto3.CopyData{Data: []byte(fmt.Sprintf("k%d\t%s\n", i, strings.Repeat("v", 1000)))})
		}
		c.fe.Send(&pgproto3.CopyDone{})
		c.flush()
		if a := c.read(); a.err == nil || a.status != 'I' {
			t.Errorf("malformed row: got %+v %q, want an error", a.err, a.status)
		}
		if a := c.query("select 'next'"); len(a.values) != 1 || a.values[0] != "next" {
			t.Errorf("next statement: got %+v, want its answer", a)
		}
		if a := c.query("begin"); a.status != 'T' {
			t.Fatalf("got %+v, want a transaction", a)
		}
		if a := c.exchange(copyIn, &pgproto3.CopyFail{Message: "stop"}); a.status != 'E' {
			t.Errorf("in a transaction: got %q, want status E", a.status)
		}
		if a := c.query("rollback"); a.code() != "" || a.status != 'I' {
			t.Errorf("rollback: got %+v %q, want success", a.err, a.status)
		}
		if got := f.valueAtPrimary("k1") + f.valueAtPrimary("a"); got != "" {
			t.Errorf("a failed copy left %q", got)
		}
	})
}
