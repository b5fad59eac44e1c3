// Package admintest provides a small fake of the interfaces that internal/admin
// uses, for tests of the server and of the command line.
package admintest

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/pkg/burn"
	"siskintray.example/siskin/pkg/config"
)

// Fake holds a configuration and one group a service in memory.
type Fake struct {
	mu       sync.Mutex
	view     *config.Snapshot
	primary  map[siskin.ServiceName]siskin.TargetID
	leaving  map[siskin.VMID]bool
	recorder *burn.Recorder
	// Down makes every change fail with kind Unavailable.
	Down atomic.Bool
}

// New returns a fake with an empty configuration.
func New() *Fake {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	f := &Fake{
		view: config.NewSnapshot(0, nil, nil), primary: map[siskin.ServiceName]siskin.TargetID{}, leaving: map[siskin.VMID]bool{},
		recorder: burn.New(clock, siskin.VM{ID: "vm-1", Incarnation: 3, DataCentre: "turku-1"}),
	}
	for i := range 1000 {
		f.recorder.Transaction("ledger-a", "shop", burn.Result{Failed: i < 20, Kind: siskin.NotRun, Latency: time.Millisecond})
	}
	return f
}

// Backend returns the fake as all parts of a backend.
func (f *Fake) Backend() admin.Backend {
	return admin.Backend{Status: f, Config: f, Keys: f, Groups: groups{f}, Fleet: f, Burn: f}
}

// View implements admin.Configurator.
func (f *Fake) View() config.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// Apply implements admin.Configurator.
func (f *Fake) Apply(_ context.Context, change *config.Change) (siskin.Revision, error) {
	view := f.View()
	if f.Down.Load() {
		return 0, siskin.NewError(siskin.Unavailable, "platform did not answer").WithRemedy("repeat it when the platform is back")
	}
	if found := config.Validate(view, change); len(found) > 0 {
		return 0, found.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := f.view.Revision() + 1
	change.SetRevision(revision)
	next := config.NewOverlay(view, change)
	var services []*config.Service
	for _, name := range next.Services() {
		s, _ := next.Service(name)
		services = append(services, s)
		if f.primary[name] == "" {
			f.primary[name] = s.Targets[0].ID
		}
	}
	var customers []*config.Customer
	for _, id := range next.Customers() {
		c, _ := next.Customer(id)
		customers = append(customers, c)
	}
	f.view = config.NewSnapshot(revision, services, customers)
	return revision, nil
}

// Revisions implements admin.Configurator.
func (f *Fake) Revisions(context.Context) ([]admin.VMRevision, error) {
	r := f.View().Revision()
	return []admin.VMRevision{{VM: "vm-1", DataCentre: "turku-1", Revision: r, Confirmed: true}, {VM: "vm-2", DataCentre: "salo-1"}}, nil
}

// Grant implements admin.KeyStore.
func (f *Fake) Grant(ctx context.Context, customer siskin.CustomerID, key config.Key) (admin.KeyOutcome, error) {
	return f.changeKeys(ctx, customer, func(c *config.Customer) { c.Keys = append(c.Keys, key) })
}

// Withdraw implements admin.KeyStore.
func (f *Fake) Withdraw(ctx context.Context, customer siskin.CustomerID, key siskin.KeyID) (admin.KeyOutcome, error) {
	if c, ok := f.View().Customer(customer); ok && !slices.ContainsFunc(c.Keys, func(k config.Key) bool { return k.ID == key }) {
		return admin.KeyOutcome{}, siskin.NewError(siskin.UnknownRoute, "customer %s has no key %s", customer, key).WithRemedy("list them with: siskintray key list")
	}
	return f.changeKeys(ctx, customer, func(c *config.Customer) {
		for i := range c.Keys {
			if c.Keys[i].ID == key {
				c.Keys[i].Withdrawn = true
			}
		}
	})
}

func (f *Fake) changeKeys(ctx context.Context, customer siskin.CustomerID, change func(*config.Customer)) (admin.KeyOutcome, error) {
	old, ok := f.View().Customer(customer)
	if !ok {
		return admin.KeyOutcome{}, siskin.NewError(siskin.UnknownRoute, "customer %s does not exist", customer).WithRemedy("list them with: siskintray customer list")
	}
	next := *old
	next.Keys = append([]config.Key{}, old.Keys...)
	change(&next)
	r, err := f.Apply(ctx, &config.Change{Base: f.View().Revision(), Customers: []*config.Customer{&next}})
	return admin.KeyOutcome{Revision: r, InForce: []siskin.DataCentreID{"turku-1"}, NotConfirmed: []siskin.DataCentreID{"salo-1"}}, err
}

// Status implements admin.StatusSource.
func (f *Fake) Status(context.Context) (admin.Status, error) {
	return admin.Status{
		VM: "vm-1", Incarnation: 3, DataCentre: "turku-1", State: "Live", Version: "devel", Revision: f.View().Revision(),
		Started: time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC), Callers: 12, Running: 3, Homes: 6, PlatformReachable: !f.Down.Load(), LiveVMs: 2,
	}, nil
}

// VMs implements admin.Fleet.
func (f *Fake) VMs(context.Context) ([]siskin.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vms := []siskin.VM{
		{ID: "vm-1", Incarnation: 3, DataCentre: "turku-1", PeerAddress: "10.0.0.1:6433", State: siskin.VMLive},
		{ID: "vm-2", Incarnation: 1, DataCentre: "salo-1", PeerAddress: "10.0.0.2:6433", State: siskin.VMSuspect},
	}
	for i := range vms {
		if f.leaving[vms[i].ID] {
			vms[i].State = siskin.VMLeaving
		}
	}
	return vms, nil
}

// Leave implements admin.Fleet.
func (f *Fake) Leave(_ context.Context, vm siskin.VMID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[vm] = true
	return nil
}

// Record implements admin.BurnSource.
func (f *Fake) Record(context.Context, bool) (burn.Record, error) { return f.recorder.Record(), nil }

// Objectives implements admin.BurnSource.
func (f *Fake) Objectives(service siskin.ServiceName) burn.Objectives {
	return burn.FromConfig(f.View())(service)
}
