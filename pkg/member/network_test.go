package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
)

// fakeNetwork connects many VMs of one process. The caller of a lost message
// waits until its deadline.
type fakeNetwork struct {
	mu        sync.Mutex
	rng       *rand.Rand
	loss      float64
	partition map[siskin.VMID]int // VMs of different partitions cannot reach each other
	vms       map[siskin.VMID]*Members
}

func newFakeNetwork(seed uint64) *fakeNetwork {
	return &fakeNetwork{rng: rand.New(rand.NewPCG(seed, 0)), partition: make(map[siskin.VMID]int), vms: make(map[siskin.VMID]*Members)}
}

type fakePeers struct {
	f    *fakeNetwork
	from siskin.VMID
}

func (f *fakeNetwork) lost(from, to siskin.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partition[from] != f.partition[to] || f.rng.Float64() < f.loss
}

// Call implements siskin.Peers.
func (p fakePeers) Call(ctx context.Context, vm siskin.VMID, method string, args, reply any) error {
	p.f.mu.Lock()
	to := p.f.vms[vm]
	p.f.mu.Unlock()
	if to == nil {
		return errors.New("no such VM")
	}
	time.Sleep(time.Millisecond)
	if p.f.lost(p.from, vm) {
		<-ctx.Done()
		return ctx.Err()
	}
	switch args := args.(type) {
	case *ProbeArgs:
		_ = to.Receiver().Probe(args, reply.(*ProbeReply))
	case *ProbeForArgs:
		_ = to.Receiver().ProbeFor(args, reply.(*ProbeForReply))
	}
	if ctx.Err() != nil || p.f.lost(vm, p.from) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// startFleet starts n VMs on a network and waits until they know each other.
func startFleet(t *testing.T, f *fakeNetwork, n int, opts ...Option) []*Members {
	t.Helper()
	var all []*Members
	for i := range n {
		id := siskin.VMID(fmt.Sprintf("vm-%d", i))
		all = append(all, startVM(f, id, 1, opts...))
	}
	t.Cleanup(func() { closeAll(f, all) })
	waitForLive(t, all, n, time.Minute)
	return all
}

func startVM(f *fakeNetwork, id siskin.VMID, inc siskin.Incarnation, opts ...Option) *Members {
	cfg := Config{
		Self:  siskin.VM{ID: id, Incarnation: inc, DataCentre: "a", PeerAddress: "127.0.0.1:" + string(id)},
		Seeds: []siskin.VMID{"vm-0", "vm-1"}, RandomSeed: uint64(inc),
	}
	m := New(cfg, fakePeers{f, id}, append([]Option{WithClock(clockwork.NewRealClock())}, opts...)...)
	f.mu.Lock()
	f.vms[id] = m
	f.mu.Unlock()
	m.Start()
	return m
}

func closeAll(f *fakeNetwork, all []*Members) {
	var done sync.WaitGroup
	for _, m := range all {
		done.Go(func() { _ = m.Close() })
	}
	done.Wait()
}

// waitForLive waits until all VMs see n live VMs, at most for limit, and returns
// how long that took.
func waitForLive(t *testing.T, all []*Members, n int, limit time.Duration) time.Duration {
	t.Helper()
	return waitFor(t, limit, func() string {
		for _, m := range all {
			if got := len(m.Live()); got != n {
				return fmt.Sprintf("%s sees %d live VMs, want %d", m.cfg.Self.ID, got, n)
			}
		}
		return ""
	})
}

// waitFor waits until problem returns an empty string, at most for limit, and
// returns how long that took.
func waitFor(t *testing.T, limit time.Duration, problem func() string) time.Duration {
	t.Helper()
	begun := time.Now()
	for {
		p := problem()
		if p == "" {
			return time.Since(begun)
		}
		if time.Since(begun) > limit {
			t.Fatalf("after %v: %s", limit, p)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// random returns a random duration below d.
func (f *fakeNetwork) random(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(d)))
}

// setLoss sets the share of messages that are lost.
func (f *fakeNetwork) setLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = share
}

// setPartition moves a VM to a partition. It can then reach only VMs of that
// partition; all start in partition 0.
func (f *fakeNetwork) setPartition(id siskin.VMID, partition int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partition[id] = partition
}

func size(v any) int {
	b, _ := json.Marshal(v)
	return len(b)
}
