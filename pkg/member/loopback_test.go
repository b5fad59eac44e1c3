package member

import (
	"flag"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/peer"
)

var measure = flag.Bool("measure", false, "measure the cost per VM up to 300 VMs over loopback")

// TestLoopbackCost guards against network traffic per VM that grows with the
// fleet. It uses real connections.
func TestLoopbackCost(t *testing.T) {
	sizes, d := []int{10, 40}, 2*time.Second
	if *measure {
		sizes, d = []int{10, 50, 100, 300}, 20*time.Second
	}
	var first, last float64
	for _, n := range sizes {
		last = loopbackCost(t, n, d)
		if first == 0 {
			first = last
		}
	}
	// The tolerance covers one exchange of pages or one push of updates.
	if last > 1.5*first {
		t.Errorf("bytes per second and VM: got %.0f at %d VMs, want at most 1.5 times the %.0f at %d", last, sizes[len(sizes)-1], first, sizes[0])
	}
}

type loopbackVM struct {
	m *Members
	s *peer.Server
	c *peer.Client
}

func startLoopbackVM(t *testing.T, i int, seeds []siskin.VMID) loopbackVM {
	t.Helper()
	id := siskin.VMID(fmt.Sprintf("vm-%d", i))
	s, err := peer.Listen(peer.Config{Self: id}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := peer.NewClient(peer.Config{Self: id}, nil)
	m := New(Config{Self: siskin.VM{ID: id, Incarnation: 1, DataCentre: "a", PeerAddress: s.Address()}, Seeds: seeds, RandomSeed: uint64(i)}, c)
	c.SetLookup(m.Address)
	if err := s.Register("Member", m.Receiver()); err != nil {
		t.Fatal(err)
	}
	s.Serve()
	m.Start()
	return loopbackVM{m, s, c}
}

func loopbackCost(t *testing.T, n int, d time.Duration) float64 {
	t.Helper()
	var vms []loopbackVM
	var all []*Members
	var seeds []siskin.VMID
	for i := range n {
		vm := startLoopbackVM(t, i, seeds)
		vms, all = append(vms, vm), append(all, vm.m)
		if i < 2 {
			seeds = append(seeds, siskin.AddressID(vm.s.Address()))
		}
	}
	defer func() {
		var done sync.WaitGroup
		for _, vm := range vms {
			done.Go(func() { _, _, _ = vm.m.Close(), vm.c.Close(), vm.s.Close() })
		}
		done.Wait()
	}()
	waitForLive(t, all, n, 30*time.Second)
	waitFor(t, 2*time.Minute, func() string { // until the updates of the start are sent
		for _, vm := range vms {
			vm.m.mu.Lock()
			left := len(vm.m.core.updateQueue.latest)
			vm.m.mu.Unlock()
			if left > 0 {
				return fmt.Sprintf("%d updates are still queued", left)
			}
		}
		return ""
	})
	before, cpu, refuted := loopbackTotal(vms), processorTime(), refutations(vms)
	begun := time.Now()
	time.Sleep(d)
	after, took := loopbackTotal(vms), time.Since(begun).Seconds()*float64(n)
	used := (processorTime() - cpu).Seconds() / took
	messages := float64(after.Sent-before.Sent) / took
	bytes := float64(after.SentBytes-before.SentBytes) / took
	connections := 0
	for _, vm := range vms {
		connections += vm.c.Stats().Connections + vm.s.Stats().Connections
	}
	t.Logf("%d VMs: %.1f messages/s and %.0f bytes/s sent per VM, %.3f%% of a core per VM, %.1f connections per VM", n, messages, bytes, 100*used, float64(connections)/float64(n))
	t.Logf("%d VMs: %d refuted suspicions", n, refutations(vms)-refuted)
	waitForLive(t, all, n, 0)
	return bytes
}

// refutations counts the suspicions that the VMs have refuted. Each is an update
// to all VMs, whose traffic is not part of the cost of a stable fleet.
func refutations(vms []loopbackVM) int {
	total := 0
	for _, vm := range vms {
		vm.m.mu.Lock()
		total += int(vm.m.core.self.Refutations)
		vm.m.mu.Unlock()
	}
	return total
}

func loopbackTotal(vms []loopbackVM) peer.MethodStats {
	var all peer.MethodStats
	for _, vm := range vms {
		for _, s := range []peer.Stats{vm.c.Stats(), vm.s.Stats()} {
			all.Sent += s.Total().Sent
			all.SentBytes += s.Total().SentBytes
		}
	}
	return all
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
