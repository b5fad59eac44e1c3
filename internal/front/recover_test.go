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

// panickingObserver panics while panics is set.
type panickingObserver struct{ panics atomic.Bool }

func (o *panickingObserver) ObserveTransaction(Observation) {
	if o.panics.Load() {
		panic("a deliberate panic")
	}
}

// connectionCounts returns the numbers of target connections that the VM has
// closed and that are in use.
func (vm *testVM) connectionCounts() (n int64, busy int) {
	for _, st := range vm.pool.Stats() {
		n += st.Opened - int64(st.Open)
		busy += st.Busy
	}
	return n, busy
}

// TestFaultEndsOneSession guards against a panic in the work for one caller
// that ends the process with all sessions, leaves the caller waiting or its
// target connection in use, or is not reported.
func TestFaultEndsOneSession(t *testing.T) {
	var violations atomic.Int64
	defer invar.OnViolation(func(_, detail string) {
		if strings.Contains(detail, "a deliberate panic") {
			violations.Add(1)
			return
		}
		panic(detail)
	})()
	log, observer := &logBuffer{}, &panickingObserver{}
	f := startFleetWith(t, 2, nil, func(c *Config) {
		c.Log, c.Observer = logs.New("error", "json", log), observer
	})
	f.firstOwnsAll.Store(true) // so that the second VM forwards
	var awakeCalls atomic.Int64
	home := f.vms[0]
	home.home.Awake = func() bool {
		if awakeCalls.Add(-1) == 0 {
			panic("a deliberate panic")
		}
		return true
	}
	for _, vm := range f.vms {
		vm.ownSlots()
	}
	const upsert = "insert into kv values ('k', 'v') on conflict (k) do update set v = excluded.v"
	write := []pgproto3.FrontendMessage{&pgproto3.Query{String: upsert}}
	for _, tt := range []struct {
		name, route string
		set         func(on bool)
		send        []pgproto3.FrontendMessage
		// atHome reports that the panic occurs at the home of the slot, so that
		// the session of a caller on another VM continues.
		atHome bool
		// closes reports that the home has a target connection in use, which is
		// closed. During the confirmation of a collected write there is none.
		closes bool
	}{
		{"after the answer", "read", observer.panics.Store, []pgproto3.FrontendMessage{&pgproto3.Query{String: "select 'x'"}}, false, true},
		{"while a write is confirmed", "write", f.group.panics.Store, write, true, false},
		{"while a streamed write is confirmed", "write", f.group.panics.Store, []pgproto3.FrontendMessage{
			&pgproto3.Parse{Query: upsert}, &pgproto3.Flush{}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
		}, true, true},
		{"with a connection that is not used yet", "write", func(on bool) {
			awakeCalls.Store(0)
			if on {
				awakeCalls.Store(2)
			}
		}, write, true, true},
	} {
		for _, vm := range f.vms {
			name := tt.name + " at " + string(vm.id)
			c, other := vm.connectRaw(t, "badges/"+tt.route), vm.connectRaw(t, "badges/write")
			closed, _ := home.connectionCounts()
			panicsBefore, violationsBefore := f.panicCount(), violations.Load()
			tt.set(true)
			a := c.exchange(tt.send...)
			if a.code() == "" && a.status == 'I' {
				a = c.read() // the answer was complete before the panic
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
			if got := f.panicCount() - panicsBefore; got != 1 {
				t.Errorf("%s: got %d panics counted, want 1", name, got)
			}
			if got := violations.Load() - violationsBefore; got != 1 {
				t.Errorf("%s: got %d violations, want 1", name, got)
			}
			now, busy := home.connectionCounts()
			for start := time.Now(); busy > 0 && time.Since(start) < 3*time.Second; now, busy = home.connectionCounts() {
				time.Sleep(time.Millisecond)
			}
			// For a session on another VM, the home has ended its part by now.
			if wantClosed := tt.closes && (vm == home || tt.atHome); busy > 0 || (now == closed) == wantClosed {
				t.Errorf("%s: got %d target connections closed and %d in use, want one closed: %v", name, now-closed, busy, wantClosed)
			}
		}
	}
	f.keys.panics.Store(true)
	if _, err := f.vms[0].dialPGX("write", testKey, ""); sqlState(err) != "XX000" {
		t.Errorf("at start-up: got %v, want XX000", err)
	}
	f.keys.panics.Store(false)
	total := f.panicCount()
	lines := len(log.lines(t, "a session ended by a fault of this program")) + len(log.lines(t, "a connection of a VM ended by a fault of this program"))
	if int64(lines) != total || total == 0 {
		t.Errorf("log: got %d lines for %d panics, want one each", lines, total)
	}
}

func (f *fleet) panicCount() (n int64) {
	for _, vm := range f.vms {
		n += vm.front.Stats().Panics + vm.relay.Panics()
	}
	return n
}
