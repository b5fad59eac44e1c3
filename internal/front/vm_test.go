package front

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/retry"
)

// testVM is a VM with its front, relay and pool.
type testVM struct {
	fleet   *fleet
	id      siskin.VMID
	dc      siskin.DataCentreID
	address string
	peer    string
	pool    *pool.Pool
	dialer  *testDialer
	fwd     *relay.Forwarder
	home    *relay.Home
	relay   *relay.Server
	front   *Server
	budgets *retry.Budgets
}

func (f *fleet) startVM(i int) *testVM {
	vm := &testVM{fleet: f, id: siskin.VMID(fmt.Sprintf("vm-%d", i)), dc: siskin.DataCentreID(fmt.Sprintf("dc-%d", i%2))}
	clock := clockwork.NewRealClock()
	dialer, err := pool.NewPGDialer(nil)
	if err != nil {
		f.tb.Fatal(err)
	}
	vm.dialer = &testDialer{PGDialer: dialer}
	vm.pool = pool.New(clock, vm.dialer, pool.WithFailure(f.group.ReportFailure))
	home := (&relay.Home{
		Clock: clock, Config: f.view, Groups: f, Limiter: f.limiter, Queues: f.queue, Pool: vm.pool, Keys: f.keys,
	}).Init()
	vm.home = home
	vm.fwd = relay.NewForwarder(clock, nil, nil)
	vm.budgets = retry.NewBudgets()
	cfg := Config{
		VM: vm.id, Clock: clock, Config: f.view, Keys: f.keys, Topology: vm, Home: home, Forwarder: vm.fwd,
		Tokens: f.tokens, Budgets: vm.budgets, PeerCanceler: peerCanceler{vm},
	}
	f.editFront(&cfg)
	vm.relay = relay.NewServer(home, f.tokens, nil, relay.WithLog(cfg.Log))
	vm.peer = f.serve(vm.relay.Serve)
	vm.front = New(cfg)
	vm.address = f.serve(vm.front.Serve)
	return vm
}

func (vm *testVM) ownSlots() {
	f := vm.fleet
	for _, t := range f.service.Targets {
		for slot := range siskin.Slot(f.service.Slots) {
			if f.vms[f.owner(t, slot)] == vm {
				vm.pool.Own(pool.Key{Target: t.ID, Slot: slot}, pool.SlotConfig{
					Address: t.Address, Credentials: f.service.Credentials, Limit: f.service.ConnectionsPerSlot,
				})
			}
		}
	}
}

// View implements Topology.
func (vm *testVM) View(siskin.ServiceName) (siskin.GroupView, <-chan struct{}, bool) {
	changed := vm.fleet.group.Changed()
	return vm.fleet.group.View(), changed, true
}

// Home implements Topology.
func (vm *testVM) Home(t config.Target, slot siskin.Slot) (siskin.VM, bool, bool) {
	owner := vm.fleet.vms[vm.fleet.owner(t, slot)]
	return siskin.VM{ID: owner.id, ForwardAddress: owner.peer}, owner == vm, true
}

// DataCentre implements Topology.
func (vm *testVM) DataCentre() siskin.DataCentreID { return vm.dc }

// peerCanceler forwards cancel requests to the other VMs.
type peerCanceler struct{ vm *testVM }

// Cancel implements Canceler.
func (c peerCanceler) Cancel(id uint32, secret []byte) {
	for _, vm := range c.vm.fleet.vms {
		if vm != c.vm {
			vm.front.Cancel(id, secret)
		}
	}
}

func (vm *testVM) connect(tb testing.TB, route, options string) *pgx.Conn {
	tb.Helper()
	conn, err := vm.dialPGX(route, testKey, options)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (vm *testVM) dialPGX(route, key, options string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return pgx.Connect(ctx, fmt.Sprintf("postgres://any:%s@%s/badges/%s?%s", key, vm.address, route, options))
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
