package spread

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/objapi"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/plat"
)

var seed = flag.Uint64("seed", 1, "seed of the randomized tests")

// TestMain makes violations of invariants fatal.
func TestMain(m *testing.M) {
	invar.OnViolation(func(name, detail string) { panic(name + ": " + detail) })
	goleak.VerifyTestMain(m)
}

// fakeFleet is a set of VMs in one process with fakes of siskin.Members and
// siskin.Peers. Messages are encoded as JSON; messages between partitioned data
// centres are lost.
type fakeFleet struct {
	mu          sync.Mutex
	partitioned bool // no data centre reaches another one
	startCutOff bool // new VMs cannot reach the platform
	vms         []siskin.VM
	nodes       map[siskin.VMID]*node

	messageFaults messageFaults

	dataCentres []siskin.DataCentreID       // VM i is in data centre i modulo their number
	options     func(vm siskin.VM) []Option // nil for none
}

type node struct {
	*Spread
	f              *fakeFleet
	vm             siskin.VM
	client         *plat.Client
	platformCutOff atomic.Bool // the VM cannot reach the platform
	staleWatches   atomic.Bool // watches return the first head that was observed
	firstHead      siskin.Object
	delayHead      atomic.Bool // the next update of the head is delayed until the one after it
	delayedUpdate  func()
	afterHeadRead  atomic.Pointer[func()] // called once after the next read of the head
}

// Self implements siskin.Members.
func (n *node) Self() siskin.VM { return n.vm }

// Live implements siskin.Members.
func (n *node) Live() []siskin.VM {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.f.vms
}

// Lookup implements siskin.Members.
func (n *node) Lookup(id siskin.VMID) (siskin.VM, bool) {
	for _, vm := range n.Live() {
		if vm.ID == id {
			return vm, true
		}
	}
	return siskin.VM{}, false
}

// Changed implements siskin.Members.
func (n *node) Changed() <-chan struct{} { return nil }

// Call implements siskin.Peers.
func (n *node) Call(ctx context.Context, id siskin.VMID, method string, args, reply any) error {
	n.f.mu.Lock()
	to := n.f.nodes[id]
	lost := to == nil || n.f.partitioned && to.vm.DataCentre != n.vm.DataCentre
	n.f.mu.Unlock()
	if lost {
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
		return errNoResponse
	}
	b, _ := json.Marshal(args)
	var answer []byte
	err := n.f.messageFaults.send(func() (err error) { answer, err = to.receive(method, b); return err })
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, reply)
}

// receive calls a method of this VM and returns its reply as JSON.
func (n *node) receive(method string, args []byte) ([]byte, error) {
	answer := func(reply any, err error) ([]byte, error) {
		b, _ := json.Marshal(reply)
		return b, err
	}
	switch method {
	case "Spread.Status":
		var reply StatusReply
		return answer(&reply, n.Receiver().Status(nil, &reply))
	case "Spread.Push":
		var a PushArgs
		var reply PushReply
		_ = json.Unmarshal(args, &a)
		return answer(&reply, n.Receiver().Push(&a, &reply))
	default:
		var a SinceArgs
		var reply SinceReply
		_ = json.Unmarshal(args, &a)
		return answer(&reply, n.Receiver().Since(&a, &reply))
	}
}

// nodePlatform is the platform client of one VM, with injected faults.
type nodePlatform struct {
	*plat.Client
	n *node
}

var errCutOff = siskin.NewError(siskin.Unavailable, "the platform is unreachable")

// Get implements siskin.Platform.
func (g nodePlatform) Get(ctx context.Context, name siskin.ObjectName) (siskin.Object, error) {
	if g.n.platformCutOff.Load() {
		return siskin.Object{}, errCutOff
	}
	o, err := g.Client.Get(ctx, name)
	if f := g.n.afterHeadRead.Load(); f != nil && name == headName && g.n.afterHeadRead.CompareAndSwap(f, nil) {
		(*f)()
	}
	return o, err
}

// Put implements siskin.Platform.
func (g nodePlatform) Put(ctx context.Context, name siskin.ObjectName, value []byte, ifVersion siskin.Version, op siskin.OperationID) (siskin.Version, error) {
	if g.n.platformCutOff.Load() {
		return 0, errCutOff
	}
	if name == headName && g.n.delaysHead(func() { _, _ = g.Client.Put(context.Background(), name, value, ifVersion, op) }) {
		return 0, siskin.NewError(siskin.OutcomeUnknown, "the response was lost")
	}
	return g.Client.Put(ctx, name, value, ifVersion, op)
}

// Watch implements siskin.Platform. It can return an old head.
func (g nodePlatform) Watch(ctx context.Context, name siskin.ObjectName, after siskin.Version) (siskin.Object, error) {
	if g.n.platformCutOff.Load() {
		return siskin.Object{}, errCutOff
	}
	o, err := g.Client.Watch(ctx, name, after)
	if err == nil && g.n.firstHead.Version == 0 {
		g.n.firstHead = o
	}
	if err == nil && g.n.staleWatches.Load() {
		return g.n.firstHead, nil
	}
	return o, err
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{nodes: make(map[siskin.VMID]*node), dataCentres: []siskin.DataCentreID{"a", "b"}}
}

// start starts VM i.
func (f *fakeFleet) start(t testing.TB, platform *objapi.Server, i int, cfg Config) *node {
	t.Helper()
	vm := siskin.VM{ID: siskin.VMID(fmt.Sprintf("vm-%d", i)), Incarnation: 1, DataCentre: f.dataCentres[i%len(f.dataCentres)], State: siskin.VMLive}
	c, err := plat.New(plat.Config{Addresses: []string{platform.Address()}, CallsPerSecond: 1e4, Burst: 1000, MaxBackoff: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	n := &node{f: f, vm: vm, client: c}
	n.platformCutOff.Store(f.startCutOff)
	var opts []Option
	if f.options != nil {
		opts = f.options(vm)
	}
	n.Spread = New(cfg, n, n, nodePlatform{c, n}, opts...)
	f.mu.Lock()
	if f.nodes[vm.ID] == nil {
		f.vms = append(append([]siskin.VM{}, f.vms...), vm)
	}
	f.nodes[vm.ID] = n
	f.mu.Unlock()
	n.Start()
	return n
}

func (f *fakeFleet) all() (all []*node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range f.vms {
		all = append(all, f.nodes[vm.ID])
	}
	return all
}

func (f *fakeFleet) setPartitioned(partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = partitioned
}

func (f *fakeFleet) close() {
	for _, n := range f.all() {
		n.stop()
	}
	for _, n := range f.all() {
		_ = n.Close()
		_ = n.client.Close()
	}
	f.messageFaults.wait()
}

// startFleet starts a platform and n VMs with short exchange intervals.
func startFleet(t testing.TB, n int) (*objapi.Server, *fakeFleet, []*node) {
	t.Helper()
	platform, err := objapi.Start(objapi.Config{Seed: *seed})
	if err != nil {
		t.Fatal(err)
	}
	f := newFakeFleet()
	t.Cleanup(func() { f.close(); platform.Close() })
	for i := range n {
		f.start(t, platform, i, fastConfig())
	}
	return platform, f, f.all()
}
