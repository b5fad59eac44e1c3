package spread

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

var errCut = siskin.NewError(siskin.Unavailable, "cut off")

// world is the platform and the network of a test.
type world struct {
	mu      sync.Mutex
	objects map[siskin.ObjectName]siskin.Object
	changed chan struct{}
	down    map[siskin.DataCentreID]bool // platform unreachable from there
	cut     map[[2]siskin.DataCentreID]bool
	vms     map[siskin.VMID]*vm
	// lateHead holds the next update of the head back until the one after it.
	lateHead bool
	late     func()
}

type vm struct {
	*Spread
	world *world
	self  siskin.VM
}

func newWorld(t *testing.T, places ...siskin.DataCentreID) *world {
	w := &world{
		objects: make(map[siskin.ObjectName]siskin.Object), changed: make(chan struct{}),
		down: make(map[siskin.DataCentreID]bool), cut: make(map[[2]siskin.DataCentreID]bool),
		vms: make(map[siskin.VMID]*vm),
	}
	for i, dc := range places {
		w.startVM(siskin.VM{ID: siskin.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: dc, Incarnation: 1, State: siskin.VMLive})
	}
	t.Cleanup(func() {
		for _, v := range w.vms {
			_ = v.Close()
		}
	})
	return w
}

func (w *world) startVM(self siskin.VM) *vm {
	v := &vm{world: w, self: self}
	v.Spread = New(v, v, v, WithInterval(20*time.Millisecond))
	w.mu.Lock()
	w.vms[self.ID] = v
	w.mu.Unlock()
	v.Start()
	return v
}

// restart replaces a VM by a new run that knows nothing.
func (w *world) restart(id siskin.VMID) {
	w.mu.Lock()
	old := w.vms[id]
	w.mu.Unlock()
	_ = old.Close()
	self := old.self
	self.Incarnation++
	w.startVM(self)
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	close(w.changed)
	w.changed = make(chan struct{})
}

// read returns an object and a channel that is closed at the next change.
func (v *vm) read(name siskin.ObjectName) (siskin.Object, chan struct{}, error) {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	if v.world.down[v.self.DataCentre] {
		return siskin.Object{}, nil, errCut
	}
	return v.world.objects[name], v.world.changed, nil
}

func (v *vm) Get(_ context.Context, name siskin.ObjectName) (siskin.Object, error) {
	o, _, err := v.read(name)
	return o, err
}

func (v *vm) Watch(ctx context.Context, name siskin.ObjectName, after siskin.Version) (siskin.Object, error) {
	for {
		o, changed, err := v.read(name)
		if err != nil || o.Version > after {
			return o, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return siskin.Object{}, ctx.Err()
		}
	}
}

func (v *vm) List(_ context.Context, prefix siskin.ObjectName) ([]siskin.Object, error) {
	if _, _, err := v.read(headName); err != nil {
		return nil, err
	}
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	var all []siskin.Object
	for name, o := range v.world.objects {
		if strings.HasPrefix(string(name), string(prefix)) {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b siskin.Object) int { return cmp.Compare(a.Name, b.Name) })
	return all, nil
}

func (v *vm) Put(_ context.Context, name siskin.ObjectName, value []byte, ifVersion siskin.Version, op siskin.OperationID) (siskin.Version, error) {
	o, _, err := v.read(name)
	if err != nil {
		return 0, err
	}
	err = siskin.NewError(siskin.Conflict, "version %d, not %d", o.Version, ifVersion)
	if name == headName && v.world.holdsBack(func() { _, _ = v.Put(context.Background(), name, value, ifVersion, op) }) {
		return 0, siskin.NewError(siskin.OutcomeUnknown, "the answer was lost")
	}
	v.world.set(func() {
		if v.world.objects[name].Version == ifVersion {
			v.world.objects[name] = siskin.Object{Name: name, Version: ifVersion + 1, Operation: op, Value: value}
			err = nil
		}
	})
	return ifVersion + 1, err
}

func (v *vm) VMs(context.Context) ([]siskin.VM, error) { return nil, nil }

func (v *vm) Call(_ context.Context, to siskin.VMID, method string, args, reply any) error {
	v.world.mu.Lock()
	other := v.world.vms[to]
	isCut := other == nil || v.world.cut[[2]siskin.DataCentreID{v.self.DataCentre, other.self.DataCentre}]
	v.world.mu.Unlock()
	if isCut {
		return errCut
	}
	r := other.Receiver()
	// Both ways go through JSON, as over a connection.
	switch method {
	case "Spread.Push":
		return r.Push(remarshal(args.(PushArgs)), reply.(*PushReply))
	case "Spread.Since":
		var answer SinceReply
		err := r.Since(args.(SinceArgs), &answer)
		*reply.(*SinceReply) = remarshal(answer)
		return err
	default:
		var part Part
		err := r.Part(args.(PartArgs), &part)
		*reply.(*Part) = remarshal(part)
		return err
	}
}

func remarshal[T any](in T) (out T) {
	b, err := json.Marshal(in)
	if err == nil {
		err = json.Unmarshal(b, &out)
	}
	if err != nil {
		panic(err)
	}
	return out
}

func (v *vm) Self() siskin.VM          { return v.self }
func (v *vm) Changed() <-chan struct{} { return v.Spread.Changed() }

func (v *vm) Live() []siskin.VM {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	var all []siskin.VM
	for _, other := range v.world.vms {
		all = append(all, other.self)
	}
	slices.SortFunc(all, func(a, b siskin.VM) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (v *vm) Lookup(siskin.VMID) (siskin.VM, bool) { return siskin.VM{}, false }

// customer returns a change that puts one customer.
func customer(base siskin.Revision, id string, rate float64) *config.Change {
	return &config.Change{Base: base, Customers: []*config.Customer{
		{ID: siskin.CustomerID(id), Rate: siskin.RequestsPerSecond(rate), Burst: 10, Weight: 1},
	}}
}

// awaitAll waits until every VM has the revision.
func (w *world) awaitAll(t *testing.T, revision siskin.Revision, limit time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		behind := 0
		w.mu.Lock()
		for _, v := range w.vms {
			if v.Revision() < revision {
				behind++
			}
		}
		w.mu.Unlock()
		if behind == 0 {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			t.Fatalf("revision %d: %d VMs are behind after %v, want 0", revision, behind, limit)
		}
		time.Sleep(time.Millisecond)
	}
}
