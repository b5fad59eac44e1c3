package spread

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/objapi"
)

// observer compares the results that operators received with the documents in
// force at the VMs.
type observer struct {
	t    *testing.T
	f    *fakeFleet
	seed uint64

	mu              sync.Mutex
	refused         map[string]error
	accepted        []acceptedChange
	lastAccepted    map[string]siskin.Revision // latest accepted revision by service
	visibleAt       map[string]siskin.VMID     // a VM that had the operation's change in force
	startedAt       map[*node]time.Time
	platformUpSince time.Time // when the last outage ended; zero during an outage
	counts          soakCounts
}

type acceptedChange struct {
	rev siskin.Revision
	at  time.Time
}

func newObserver(t *testing.T, f *fakeFleet, seed uint64) *observer {
	o := &observer{
		t: t, f: f, seed: seed, platformUpSince: time.Now(),
		refused: make(map[string]error), lastAccepted: make(map[string]siskin.Revision),
		visibleAt: make(map[string]siskin.VMID), startedAt: make(map[*node]time.Time),
	}
	for _, n := range f.all() {
		o.startedAt[n] = time.Now()
	}
	return o
}

// setPlatform sets the faults of the platform and records when an outage ends.
func (o *observer) setPlatform(platform *objapi.Server, faults objapi.Faults) {
	platform.SetFaults(faults)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case faults.Refuse:
		o.platformUpSince = time.Time{}
	case o.platformUpSince.IsZero():
		o.platformUpSince = time.Now()
	}
}

// startVM starts VM i.
func (o *observer) startVM(t *testing.T, platform *objapi.Server, i int) *node {
	n := o.f.start(t, platform, i, fastConfig())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startedAt[n] = time.Now()
	return n
}

// restart replaces VM i with a new one without state.
func (o *observer) restart(t *testing.T, platform *objapi.Server, i int) {
	old := o.f.all()[i]
	o.startVM(t, platform, i)
	o.counts.restarts++
	o.f.messageFaults.delivery.Go(func() { _ = old.Close(); _ = old.client.Close() })
}

// recordResult records the result of a change.
func (o *observer) recordResult(op, service string, rev siskin.Revision, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.accepted = append(o.accepted, acceptedChange{rev, time.Now()})
		o.lastAccepted[service] = max(o.lastAccepted[service], rev)
		o.counts.accepted++
	case siskin.KindOf(err) == siskin.OutcomeUnknown:
		o.counts.unknown++
	default:
		o.refused[op] = err
		o.counts.refused++
	}
}

// observe checks all VMs every 5 ms until stop is closed.
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
			o.observeNode(n)
		}
	}
}

// observeNode records the documents in force at a VM and checks that changes
// accepted more than 9 s ago are in force there.
func (o *observer) observeNode(n *node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range serviceNames() {
		if op := targetAddress(n, name); op != "" {
			o.visibleAt[op] = n.vm.ID
		}
	}
	now := time.Now()
	for len(o.accepted) > 0 && now.Sub(o.accepted[0].at) > maxSpreadTime {
		o.counts.checkedRevision = max(o.counts.checkedRevision, o.accepted[0].rev)
		o.accepted = o.accepted[1:]
	}
	startedAt, ok := o.startedAt[n]
	if ok && now.Sub(startedAt) > maxSpreadTime && !o.platformUpSince.IsZero() && now.Sub(o.platformUpSince) > maxSpreadTime && n.Revision() < o.counts.checkedRevision {
		o.t.Errorf("seed %d: %s has revision %d, want at least %d, accepted more than %v ago", o.seed, n.vm.ID, n.Revision(), o.counts.checkedRevision, maxSpreadTime)
	}
}

// check compares the documents in force at all VMs with the results of the
// changes.
func (o *observer) check(t *testing.T) {
	for _, n := range o.f.all() {
		o.observeNode(n)
		for _, name := range serviceNames() {
			e := n.get(key{ServiceKind, name})
			if o.lastAccepted[name] > 0 && (e == nil || e.Revision < o.lastAccepted[name]) {
				t.Errorf("seed %d: %s lacks revision %d of %s", o.seed, n.vm.ID, o.lastAccepted[name], name)
			}
			if got, want := targetAddress(n, name), targetAddress(o.f.all()[0], name); got != want {
				t.Errorf("seed %d: %s has %q for %s, another VM %q", o.seed, n.vm.ID, got, name, want)
			}
		}
	}
	for op, err := range o.refused {
		if vm, ok := o.visibleAt[op]; ok {
			t.Errorf("seed %d: %s had %s in force, which was refused: %v", o.seed, vm, op, err)
		}
	}
}

// serviceNames returns the names of the services that are changed at random.
func serviceNames() (names []string) {
	for s := range soakServices {
		names = append(names, fmt.Sprintf("s-%d", s))
	}
	return append(names, "bad")
}
