package elect

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/views"
)

// testNetwork connects the electors of a test. It delays announcements until
// deliver is called and executes all other calls at once.
type testNetwork struct {
	mu          sync.Mutex
	electors    map[siskin.VMID]*Elector
	partitioned bool // calls other than announcements fail
	delayed     []func() error
}

func (w *testNetwork) call(to siskin.VMID, method string, args, reply any) error {
	data, err := json.Marshal(args)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.electors[to]
	if method == "Elect.Announce" {
		w.delayed = append(w.delayed, func() error { return serve(e, method, data, &struct{}{}) })
		return nil
	}
	if w.partitioned {
		return siskin.NewError(siskin.Unavailable, "%s gave no answer", to)
	}
	return serve(e, method, data, reply)
}

// serve executes a call as the RPC server of a VM does.
func serve(e *Elector, method string, data []byte, reply any) error {
	name, ok := strings.CutPrefix(method, "Elect.")
	m := reflect.ValueOf(e.Receiver()).MethodByName(name)
	if !ok || !m.IsValid() {
		return fmt.Errorf("unexpected call to %s", method)
	}
	in, out := reflect.New(m.Type().In(0).Elem()), reflect.New(m.Type().In(1).Elem())
	if err := json.Unmarshal(data, in.Interface()); err != nil {
		return err
	}
	if err, failed := m.Call([]reflect.Value{in, out})[0].Interface().(error); failed {
		return err
	}
	answer, err := json.Marshal(out.Interface())
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, reply)
}

// deliver executes the delayed announcements.
func (w *testNetwork) deliver(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	calls := w.delayed
	w.delayed = nil
	w.mu.Unlock()
	for _, f := range calls {
		if err := f(); err != nil {
			t.Fatal(err)
		}
	}
}

func (w *testNetwork) delayedCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.delayed)
}

func (w *testNetwork) setPartitioned(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = on
}

// waitFor waits until ok returns true.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 5s: %s", what)
		}
	}
}

// networkPeers is the siskin.Peers of one VM.
type networkPeers struct{ w *testNetwork }

// Call implements siskin.Peers.
func (p networkPeers) Call(_ context.Context, to siskin.VMID, method string, args, reply any) error {
	return p.w.call(to, method, args, reply)
}

// twoVMs is a fleet of two VMs as seen by one of them.
type twoVMs struct {
	oneVM
	self siskin.VMID
}

func (p twoVMs) Self() siskin.VM { return siskin.VM{ID: p.self} }
func (twoVMs) Live() []siskin.VM { return []siskin.VM{{ID: "vm-1"}, {ID: "vm-2"}} }

// newElectorPair returns two electors that watch no services, and the network
// between them.
func newElectorPair(t *testing.T, clock siskin.Clock) (a, b *Elector, w *testNetwork) {
	t.Helper()
	w = &testNetwork{electors: make(map[siskin.VMID]*Elector)}
	for _, id := range []siskin.VMID{"vm-1", "vm-2"} {
		ctx, cancel := context.WithCancel(context.Background())
		e := &Elector{
			cfg: Config{
				Clock: clock, Members: twoVMs{self: id}, Peers: networkPeers{w}, Views: views.New(),
				Log: logs.New("error", "json", io.Discard),
			},
			ctx: ctx, stop: cancel,
		}
		e.tokens.e = e
		w.electors[id] = e
		t.Cleanup(func() {
			if err := e.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	return w.electors["vm-1"], w.electors["vm-2"], w
}

// TestLateAnnouncement guards against a proof whose age is counted from its
// arrival: an announcement that a network partition delayed for seconds set a
// floor that lacked all commits acknowledged in the meantime, and a replica of
// the former term served reads.
func TestLateAnnouncement(t *testing.T) {
	const lateness = 7 * time.Second
	for _, c := range []struct {
		name string
		cut  bool // the sender cannot be queried when its announcement arrives
	}{{"sender answers", false}, {"sender is out of reach", true}} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			from, to, w := newElectorPair(t, clock)
			start := clock.Now()
			first := views.PrimaryProof{Target: "new", Position: siskin.Position{Term: 1, LSN: 173}, At: start}
			to.cfg.Views.RecordProof("ledger", views.PrimaryProof{Target: "old", Position: siskin.Position{Term: 1, LSN: 170}, At: start.Add(-time.Second)})
			from.cfg.Views.RecordProof("ledger", first)
			ch := &change{e: from, spec: siskin.ServiceSpec{Name: "ledger"}, oldPrimary: "old"}
			ch.announce(0)
			waitFor(t, "an announcement in the network", func() bool { return w.delayedCalls() == 1 })
			clock.Advance(lateness)
			later := views.PrimaryProof{Target: "new", Position: siskin.Position{Term: 2, LSN: 190}, At: clock.Now().Add(-100 * time.Millisecond)}
			from.cfg.Views.RecordProof("ledger", later)
			w.setPartitioned(c.cut)
			w.deliver(t)
			if !c.cut {
				waitFor(t, "the new primary in the receiver's view", func() bool { return to.cfg.Views.LatestProof("ledger").Target == "new" })
			}
			time.Sleep(20 * time.Millisecond) // for an answer that must not count
			got := to.cfg.Views.LatestProof("ledger")
			if got.Position != later.Position && got.At.After(first.At) {
				t.Errorf("floor after an announcement delayed by %v: got %v, aged %v, want one as old as its proof", lateness, got.Position, clock.Since(got.At))
			}
		})
	}
}

// TestLateHold guards against delayed announcements of an earlier change. They
// made a VM refuse requests for a change that had ended, or send them to the
// former primary during the current change.
func TestLateHold(t *testing.T) {
	clock := clockwork.NewFakeClock()
	from, to, w := newElectorPair(t, clock)
	proofAt := func(id siskin.TargetID, term siskin.Term) views.PrimaryProof {
		return views.PrimaryProof{Target: id, Position: siskin.Position{Term: term, LSN: 7}, At: clock.Now()}
	}
	to.cfg.Views.RecordProof("ledger", proofAt("a", 1))
	first := &change{e: from, spec: siskin.ServiceSpec{Name: "ledger"}, oldPrimary: "a"}
	first.announce(changeNoticeTTL)
	waitFor(t, "an announcement in the network", func() bool { return w.delayedCalls() == 1 })
	clock.Advance(7 * time.Second)
	from.cfg.Views.RecordProof("ledger", proofAt("b", 2))
	to.cfg.Views.RecordProof("ledger", proofAt("b", 2))
	w.deliver(t)
	if to.cfg.Views.ChangeInProgress("ledger", clock.Now()) {
		t.Error("delayed announcement of a finished change: got requests held, want none")
	}
	first.announce(0)
	waitFor(t, "an announcement in the network", func() bool { return w.delayedCalls() == 1 })
	to.cfg.Views.BeginChange("ledger", "b", clock.Now().Add(changeNoticeTTL))
	w.deliver(t)
	time.Sleep(20 * time.Millisecond) // for an answer that must not count
	if !to.cfg.Views.ChangeInProgress("ledger", clock.Now()) {
		t.Error("delayed end of an earlier change: got no requests held during the current change, want them held")
	}
}
