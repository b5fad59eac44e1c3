package front

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/pkg/invar"
)

// faultyObserver panics while it is set.
type faultyObserver struct{ fault atomic.Bool }

func (o *faultyObserver) ObserveTransaction(Observation) {
	if o.fault.Load() {
		panic("a fault on purpose")
	}
}

// closed returns the number of target connections that a VM has closed.
func (vm *testVM) closed() (n int64, busy int) {
	for _, st := range vm.pool.Stats() {
		n += st.Opened - int64(st.Open)
		busy += st.Busy
	}
	return n, busy
}

// TestFaultEndsOneSession guards against a fault in the work for one caller that
// ends the process with the sessions of all, that leaves its caller waiting or
// its target connection in use, or that nobody hears of.
func TestFaultEndsOneSession(t *testing.T) {
	var violations atomic.Int64
	defer invar.OnViolation(func(_, detail string) {
		if strings.Contains(detail, "a fault on purpose") {
			violations.Add(1)
			return
		}
		panic(detail)
	})()
	book, observer := &logBook{}, &faultyObserver{}
	f := startFleetWith(t, 2, nil, func(c *Config) {
		c.Log, c.Observer = logs.New("error", "json", book), observer
	})
	f.allAtFirst.Store(true) // so that the second VM forwards
	var asleep atomic.Int64
	home := f.vms[0]
	home.home.Awake = func() bool {
		if asleep.Add(-1) == 0 {
			panic("a fault on purpose")
		}
		return true
	}
	for _, vm := range f.vms {
		vm.own()
	}
	const upsert = "insert into kv values ('k', 'v') on conflict (k) do update set v = excluded.v"
	write := []pgproto3.FrontendMessage{&pgproto3.Query{String: upsert}}
	for _, tt := range []struct {
		name, route string
		set         func(on bool)
		send        []pgproto3.FrontendMessage
		// atHome says that the fault is at the home of the slot, so that the
		// session of a caller of another VM goes on.
		atHome bool
		// closes says that the home has the target connection in use; during the
		// confirmation of a collected write it does not.
		closes bool
	}{
		{"after the answer", "read", observer.fault.Store, []pgproto3.FrontendMessage{&pgproto3.Query{String: "select 'x'"}}, false, true},
		{"while a write is confirmed", "write", f.group.fault.Store, write, true, false},
		{"while a streamed write is confirmed", "write", f.group.fault.Store, []pgproto3.FrontendMessage{
			&pgproto3.Parse{Query: upsert}, &pgproto3.Flush{}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
		}, true, true},
		{"with a connection that is not used yet", "write", func(on bool) {
			asleep.Store(0)
			if on {
				asleep.Store(2)
			}
		}, write, true, true},
	} {
		for _, vm := range f.vms {
			name := tt.name + " at " + string(vm.id)
			c, other := vm.raw(t, "badges/"+tt.route), vm.raw(t, "badges/write")
			closed, _ := home.closed()
			faults, before := f.faults(), violations.Load()
			tt.set(true)
			a := c.exchange(tt.send...)
			if a.code() == "" && a.status == 'I' {
				a = c.read() // the answer was complete before the fault
			}
			tt.set(false)
			want, status := "XX000", byte(0)
			if tt.atHome && vm != home {
				want, status = "08007", 'I'
			}
			if a.code() != want || a.status != status {
				t.Errorf("%s: got %+v with status %q, want %s and status %q", name, a.err, a.status, want, status)
			}
			if a := other.query("select 'other'"); a.code() != "" || a.status != 'I' {
				t.Errorf("%s, other session: got %+v, want its answer", name, a.err)
			}
			if got := f.faults() - faults; got != 1 {
				t.Errorf("%s: got %d faults counted, want 1", name, got)
			}
			if got := violations.Load() - before; got != 1 {
				t.Errorf("%s: got %d violations, want 1", name, got)
			}
			now, busy := home.closed()
			for start := time.Now(); busy > 0 && time.Since(start) < 3*time.Second; now, busy = home.closed() {
				time.Sleep(time.Millisecond)
			}
			// The home of a session elsewhere has ended its part by then.
			if wantClosed := tt.closes && (vm == home || tt.atHome); busy > 0 || (now == closed) == wantClosed {
				t.Errorf("%s: got %d target connections closed and %d in use, want it closed: %v", name, now-closed, busy, wantClosed)
			}
		}
	}
	f.keys.fault.Store(true)
	if _, err := f.vms[0].tryConnect("write", testKey, ""); sqlState(err) != "XX000" {
		t.Errorf("at start-up: got %v, want XX000", err)
	}
	f.keys.fault.Store(false)
	total := f.faults()
	lines := len(book.lines(t, "a session ended by a fault of this program")) + len(book.lines(t, "a connection of a VM ended by a fault of this program"))
	if int64(lines) != total || total == 0 {
		t.Errorf("log: got %d lines of %d faults, want one each", lines, total)
	}
}

func (f *fleet) faults() (n int64) {
	for _, vm := range f.vms {
		n += vm.front.Stats().Panics + vm.relay.Panics()
	}
	return n
}
