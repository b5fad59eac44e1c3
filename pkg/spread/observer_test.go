package spread

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/objapi"
)

// observer compares what operators were told with what VMs have in force.
type observer struct {
	t    *testing.T
	f    *fabric
	seed uint64

	mu       sync.Mutex
	refused  map[string]error
	accepted []acceptance
	last     map[string]siskin.Revision // latest accepted revision by service
	seen     map[string]siskin.VMID     // operations that were in force anywhere
	begun    map[*node]time.Time
	up       time.Time // start of the time without an outage; zero in an outage
	counts   soakCounts
}

// acceptance is an accepted change.
type acceptance struct {
	rev siskin.Revision
	at  time.Time
}

func newObserver(t *testing.T, f *fabric, seed uint64) *observer {
	o := &observer{
		t: t, f: f, seed: seed, up: time.Now(),
		refused: make(map[string]error), last: make(map[string]siskin.Revision),
		seen: make(map[string]siskin.VMID), begun: make(map[*node]time.Time),
	}
	for _, n := range f.all() {
		o.begun[n] = time.Now()
	}
	return o
}

// setPlatform sets the faults of the platform and notes when an outage ends.
func (o *observer) setPlatform(platform *objapi.Server, faults objapi.Faults) {
	platform.SetFaults(faults)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case faults.Refuse:
		o.up = time.Time{}
	case o.up.IsZero():
		o.up = time.Now()
	}
}

// join starts VM i.
func (o *observer) join(t *testing.T, platform *objapi.Server, i int) *node {
	n := o.f.start(t, platform, i, fastConfig())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun[n] = time.Now()
	return n
}

// restart replaces VM i by one without state.
func (o *observer) restart(t *testing.T, platform *objapi.Server, i int) {
	old := o.f.all()[i]
	o.join(t, platform, i)
	o.counts.restarts++
	o.f.messages.delivery.Go(func() { _ = old.Close(); _ = old.client.Close() })
}

// note records the result of a change.
func (o *observer) note(op, service string, rev siskin.Revision, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.accepted = append(o.accepted, acceptance{rev, time.Now()})
		o.last[service] = max(o.last[service], rev)
		o.counts.accepted++
	case siskin.KindOf(err) == siskin.OutcomeUnknown:
		o.counts.unknown++
	default:
		o.refused[op] = err
		o.counts.refused++
	}
}

// observe looks at all VMs until stop is closed.
func (o *observer) observe(stop chan struct{}) {
	revisions := make(map[*node]siskin.Revision)
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, n := range o.f.all() {
			rev := n.Revision()
			if rev < revisions[n] {
				o.t.Errorf("seed %d: %s has revision %d in force after %d", o.seed, n.vm.ID, rev, revisions[n])
			}
			revisions[n] = rev
			o.look(n)
		}
	}
}

// look notes what one VM has in force and checks the bound of 9 s.
func (o *observer) look(n *node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range services() {
		if op := value(n, name); op != "" {
			o.seen[op] = n.vm.ID
		}
	}
	now := time.Now()
	for len(o.accepted) > 0 && now.Sub(o.accepted[0].at) > limit {
		o.counts.due = max(o.counts.due, o.accepted[0].rev)
		o.accepted = o.accepted[1:]
	}
	begun, ok := o.begun[n]
	if ok && now.Sub(begun) > limit && !o.up.IsZero() && now.Sub(o.up) > limit && n.Revision() < o.counts.due {
		o.t.Errorf("seed %d: %s has revision %d, want at least %d, accepted more than %v ago", o.seed, n.vm.ID, n.Revision(), o.counts.due, limit)
	}
}

// check compares all VMs with the results of the changes.
func (o *observer) check(t *testing.T) {
	for _, n := range o.f.all() {
		o.look(n)
		for _, name := range services() {
			e := n.get(key{ServiceKind, name})
			if o.last[name] > 0 && (e == nil || e.Revision < o.last[name]) {
				t.Errorf("seed %d: %s lacks revision %d of %s", o.seed, n.vm.ID, o.last[name], name)
			}
			if got, want := value(n, name), value(o.f.all()[0], name); got != want {
				t.Errorf("seed %d: %s has %q for %s, another VM %q", o.seed, n.vm.ID, got, name, want)
			}
		}
	}
	for op, err := range o.refused {
		if vm, ok := o.seen[op]; ok {
			t.Errorf("seed %d: %s had %s in force, which was refused: %v", o.seed, vm, op, err)
		}
	}
}

// services returns the names of the services that are changed at random.
func services() (names []string) {
	for s := range soakServices {
		names = append(names, fmt.Sprintf("s-%d", s))
	}
	return append(names, "bad")
}
