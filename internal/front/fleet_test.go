package front

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/token"
)

func TestMain(m *testing.M) {
	invar.OnViolation(func(name, detail string) { panic(name + ": " + detail) })
	goleak.VerifyTestMain(m)
}

const testKey = "key-of-the-badge-shop"

// fleet is a group of stand-in targets with VMs in front of it.
type fleet struct {
	tb      testing.TB
	service *config.Service
	targets []*target.Server
	group   *fakeGroup
	keys    *fakeKeys
	limiter *fakeLimiter
	queue   *fakeQueue

	editFront func(*Config)
	tokens    *token.Codec
	view      config.View
	vms       []*testVM
	// firstOwnsAll makes the first VM the owner of all slots.
	firstOwnsAll atomic.Bool
}

func startFleet(tb testing.TB, vms int, edit func(*target.Config, *config.Service)) *fleet {
	tb.Helper()
	return startFleetWith(tb, vms, edit, func(*Config) {})
}

func startFleetWith(tb testing.TB, vms int, edit func(*target.Config, *config.Service), editFront func(*Config)) *fleet {
	tb.Helper()
	f := &fleet{tb: tb, editFront: editFront, keys: newFakeKeys(), limiter: &fakeLimiter{}, queue: &fakeQueue{}}
	f.service = &config.Service{
		Name: "badges", Slots: 2, ConnectionsPerSlot: 8, AckReplicas: 1,
		Credentials: config.Credentials{
			User: "siskin", Password: "full-secret", ReadUser: "siskin_read", ReadPassword: "read-secret", Database: "app",
		},
		Routes: []config.Route{
			{Name: "write", Mode: config.WriteRoute, Deadline: config.Duration(5 * time.Second)},
			{Name: "read", Mode: config.ReadRoute, Repeatable: true, Deadline: config.Duration(5 * time.Second)},
			{Name: "aged", Mode: config.ReadRoute, MaxAge: config.Duration(time.Minute), Deadline: config.Duration(5 * time.Second)},
			{Name: "short", Mode: config.WriteRoute, Deadline: config.Duration(300 * time.Millisecond)},
			{Name: "open", Mode: config.ReadRoute, Open: true, OpenCustomer: "walk-in", Deadline: config.Duration(5 * time.Second)},
		},
	}
	var err error
	f.targets, err = target.StartGroup("badges", 3, func(c *target.Config) {
		c.ConnectionsPerSlot = f.service.ConnectionsPerSlot
		c.RecordReceived = true
		if edit != nil {
			edit(c, f.service)
		}
	})
	if err != nil {
		tb.Fatal(err)
	}
	for i, t := range f.targets {
		dc := siskin.DataCentreID(fmt.Sprintf("dc-%d", i%2))
		f.service.Targets = append(f.service.Targets, config.Target{ID: t.ID(), DataCentre: dc, Address: t.Address()})
	}
	f.view = config.NewStaticView([]*config.Service{f.service}, []*config.Customer{{ID: "shop", Weight: 1}, {ID: "walk-in", Weight: 1}})
	f.tokens, err = token.NewCodec([]byte("a token key of 24 bytes."), nil)
	if err != nil {
		tb.Fatal(err)
	}
	f.group = newFakeGroup(f.targets)
	for i := range vms {
		f.vms = append(f.vms, f.startVM(i))
	}
	for _, vm := range f.vms {
		vm.ownSlots()
	}
	tb.Cleanup(f.close)
	return f
}

func (f *fleet) serve(serve func(net.Listener) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.tb.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		_ = serve(l) // ends when the listener is closed
		close(done)
	}()
	f.tb.Cleanup(func() {
		l.Close()
		<-done
	})
	return l.Addr().String()
}

func (f *fleet) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, vm := range f.vms {
		vm.front.Close(ctx)
	}
	for _, vm := range f.vms {
		vm.fwd.Close(ctx)
	}
	for _, vm := range f.vms {
		vm.relay.Close(ctx)
		vm.pool.Close(ctx)
	}
	_ = target.CloseAll(f.targets)
	f.group.close()
}

// Group implements siskin.Groups.
func (f *fleet) Group(siskin.ServiceName) (siskin.Group, bool) { return f.group, true }

// owner returns the index of the VM that owns a slot.
func (f *fleet) owner(t config.Target, slot siskin.Slot) int {
	if f.firstOwnsAll.Load() {
		return 0
	}
	for i := range f.service.Targets {
		if f.service.Targets[i].ID == t.ID {
			return (i + int(slot)) % len(f.vms)
		}
	}
	return 0
}

// testDialer opens connections to the stand-in targets, or to a canned target
// when one is set.
type testDialer struct {
	*pool.PGDialer
	canned atomic.Pointer[cannedTarget]
}

// Dial implements pool.Dialer.
func (d *testDialer) Dial(ctx context.Context, key pool.Key, cfg pool.SlotConfig, account pool.Account) (pool.DialedConn, error) {
	if c := d.canned.Load(); c != nil {
		return c.Dial(ctx, key, cfg, account)
	}
	return d.PGDialer.Dial(ctx, key, cfg, account)
}

// dialCanned replaces all target connections by connections to a canned target.
func (f *fleet) dialCanned(c cannedTarget) {
	for _, vm := range f.vms {
		vm.dialer.canned.Store(&c)
		for _, key := range vm.pool.Owned() {
			<-vm.pool.Drop(key)
		}
		vm.ownSlots()
	}
}
