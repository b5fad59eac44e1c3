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

// fabric is a fake of siskin.Peers for many VMs of one process. Lost messages
// leave the caller waiting until its deadline.
type fabric struct {
	mu    sync.Mutex
	rng   *rand.Rand
	loss  float64
	group map[siskin.VMID]int // VMs of different groups cannot reach each other
	vms   map[siskin.VMID]*Members
}

func newFabric(seed uint64) *fabric {
	return &fabric{rng: rand.New(rand.NewPCG(seed, 0)), group: make(map[siskin.VMID]int), vms: make(map[siskin.VMID]*Members)}
}

type fabricPeers struct {
	f    *fabric
	from siskin.VMID
}

func (f *fabric) lost(from, to siskin.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group[from] != f.group[to] || f.rng.Float64() < f.loss
}

// Call implements siskin.Peers.
func (p fabricPeers) Call(ctx context.Context, vm siskin.VMID, method string, args, reply any) error {
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

// fleet starts n VMs on a fabric that know each other.
func fleet(t *testing.T, f *fabric, n int, opts ...Option) []*Members {
	t.Helper()
	var all []*Members
	for i := range n {
		id := siskin.VMID(fmt.Sprintf("vm-%d", i))
		all = append(all, startVM(f, id, 1, opts...))
	}
	t.Cleanup(func() { closeAll(f, all) })
	settle(t, all, n, time.Minute)
	return all
}

func startVM(f *fabric, id siskin.VMID, inc siskin.Incarnation, opts ...Option) *Members {
	cfg := Config{
		Self:  siskin.VM{ID: id, Incarnation: inc, DataCentre: "a", PeerAddress: "127.0.0.1:" + string(id)},
		Seeds: []siskin.VMID{"vm-0", "vm-1"}, RandomSeed: uint64(inc),
	}
	m := New(cfg, fabricPeers{f, id}, append([]Option{WithClock(clockwork.NewRealClock())}, opts...)...)
	f.mu.Lock()
	f.vms[id] = m
	f.mu.Unlock()
	m.Start()
	return m
}

func closeAll(f *fabric, all []*Members) {
	var done sync.WaitGroup
	for _, m := range all {
		done.Go(func() { _ = m.Close() })
	}
	done.Wait()
}

// settle waits until all VMs see n live ones.
func settle(t *testing.T, all []*Members, n int, limit time.Duration) time.Duration {
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

// waitFor waits until problem returns nothing, at most for limit.
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
func (f *fabric) random(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(d)))
}

// lose sets the share of messages that are lost.
func (f *fabric) lose(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = share
}

// kill cuts a VM off from all others.
func (f *fabric) kill(id siskin.VMID, group int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.group[id] = group
}

func size(v any) int {
	b, _ := json.Marshal(v)
	return len(b)
}
