package limit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// slowFleet runs limiters in real time with delayed calls. The embedded fleet
// stores the list of VMs and the objects, under one lock.
type slowFleet struct {
	mu        sync.Mutex
	f         *fleet
	limits    map[siskin.VMID]*Limiter
	callDelay time.Duration // of a call to a peer or the platform
}

// slowNode is one VM of a slowFleet.
type slowNode struct {
	*slowFleet
	siskin.Platform
	n *node
}

func (s *slowNode) Call(ctx context.Context, vm siskin.VMID, method string, args, reply any) error {
	time.Sleep(s.callDelay)
	s.mu.Lock()
	dead := s.f.find(vm, 0).dead
	s.mu.Unlock()
	if dead {
		return siskin.NewError(siskin.Unavailable, "%s does not answer", vm)
	}
	return localPeers(s.limits).Call(ctx, vm, method, args, reply)
}

func (s *slowNode) Get(ctx context.Context, name siskin.ObjectName) (siskin.Object, error) {
	time.Sleep(s.callDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f.Get(ctx, name)
}

func (s *slowNode) Put(ctx context.Context, name siskin.ObjectName, value []byte, version siskin.Version, op siskin.OperationID) (siskin.Version, error) {
	time.Sleep(s.callDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f.Put(ctx, name, value, version, op)
}

func (s *slowNode) VMs(ctx context.Context) ([]siskin.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f.VMs(ctx)
}

func (s *slowNode) Self() siskin.VM { return s.n.vm }

func (s *slowNode) Live() []siskin.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n.Live()
}

func (s *slowNode) Lookup(id siskin.VMID) (siskin.VM, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n.Lookup(id)
}

func (s *slowNode) Changed() <-chan struct{} { return nil }

// TestReclaimTime guards against a reclaim whose duration grows with the
// number of holders until it never ends. It measures the time from the report
// that a VM is gone until the other VMs hold all units.
func TestReclaimTime(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	for _, holders := range []int{7, 128} {
		t.Run(fmt.Sprint("holders=", holders), func(t *testing.T) { reclaimTime(t, holders) })
	}
}

func reclaimTime(t *testing.T, holders int) {
	f := newFleet(1, &config.Customer{ID: "a", Rate: 1000, Burst: 1000})
	s := &slowFleet{f: f, limits: make(map[siskin.VMID]*Limiter), callDelay: 3 * time.Millisecond}
	for i := range holders {
		n := f.start(fmt.Sprint("v", i), 1, fmt.Sprint("d", i%4))
		node := &slowNode{slowFleet: s, n: n}
		n.l = New(clockwork.NewRealClock(), f.view, node, node, node)
		s.limits[n.vm.ID] = n.l
	}
	for _, n := range f.vms {
		n.l.Prepare("a")
		n.l.readRecords(t.Context())
	}
	for _, n := range f.vms {
		n.l.Start()
		defer n.l.Close()
	}
	sum := func(living bool) (total siskin.QuotaUnits) {
		for _, n := range f.vms {
			if !living || !n.dead {
				total += n.l.core.units("a")
			}
		}
		return total
	}
	if got := sum(false); got != siskin.TotalQuotaUnits {
		t.Fatalf("got %d units granted at the start, want %d", got, siskin.TotalQuotaUnits)
	}
	var gone *node
	for _, n := range f.vms {
		if n.l.core.units("a") > 0 {
			gone = n
		}
	}
	gone.l.Close()
	s.mu.Lock()
	gone.dead, gone.vm.State = true, siskin.VMGone
	s.mu.Unlock()
	start := time.Now()
	for sum(true) != siskin.TotalQuotaUnits {
		if time.Since(start) > time.Minute {
			t.Fatalf("got %d units in use after a minute, want %d", sum(true), siskin.TotalQuotaUnits)
		}
		time.Sleep(time.Millisecond)
	}
	t.Logf("%d holders, %v a call: all units in use %v after the VM was known as gone", holders, s.callDelay, time.Since(start).Round(time.Millisecond))
}
