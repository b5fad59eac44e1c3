package daemon

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/build"
	"siskintray.example/siskin/pkg/burn"
	"siskintray.example/siskin/pkg/config"
)

// backend serves operators' requests. It implements interfaces of admin.Backend.
type backend struct{ d *Daemon }

func (d *Daemon) backend() admin.Backend {
	b := &backend{d}
	return admin.Backend{
		Status: b,
		Config: &configBackend{d},
		Keys:   &keyBackend{d},
		Groups: &groupBackend{d},
		Fleet:  b,
		Burn:   b,
	}
}

// peerCallTimeout bounds a call to one VM on behalf of an operator.
const peerCallTimeout = 2 * time.Second

// Status implements admin.StatusSource.
func (b *backend) Status(context.Context) (admin.Status, error) {
	d, st := b.d, b.d.Status()
	return admin.Status{
		VM:                d.self.ID,
		Incarnation:       d.self.Incarnation,
		DataCentre:        d.self.DataCentre,
		State:             st.VM.State.String(),
		Version:           build.Read().Version,
		Started:           time.UnixMilli(int64(d.self.Incarnation)),
		Revision:          st.Revision,
		Callers:           st.Front.Sessions,
		Homes:             st.Slots,
		PlatformReachable: !d.spread.PlatformDown(),
		LiveVMs:           len(d.members.Live()),
	}, nil
}

// VMs implements admin.Fleet.
func (b *backend) VMs(context.Context) ([]siskin.VM, error) { return b.d.members.Live(), nil }

// Leave implements admin.Fleet.
func (b *backend) Leave(ctx context.Context, vm siskin.VMID) error {
	if vm == b.d.self.ID {
		b.d.requestStop()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var started bool
	return b.d.client.Call(ctx, vm, "Daemon.Leave", struct{}{}, &started)
}

// Record implements admin.BurnSource.
func (b *backend) Record(ctx context.Context, fleet bool) (burn.Record, error) {
	own := b.d.recorder.Record()
	if !fleet {
		return own, nil
	}
	// A VM that does not answer is missing from the report's list of VMs.
	live := b.d.members.Live()
	records := make([]burn.Record, len(live))
	pool := pond.NewPool(maxParallelCalls)
	for i, vm := range live {
		if vm.ID != b.d.self.ID {
			pool.Submit(func() { records[i] = b.d.fetchRecord(ctx, vm.ID) })
		}
	}
	pool.StopAndWait()
	return burn.Merge(append(records, own)...)
}

// fetchRecord returns the burn record of another VM, which is empty when the VM
// does not answer.
func (d *Daemon) fetchRecord(ctx context.Context, vm siskin.VMID) burn.Record {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var record burn.Record
	if err := d.client.Call(ctx, vm, "Daemon.Burn", struct{}{}, &record); err != nil {
		return burn.Record{}
	}
	return record
}

// Objectives implements admin.BurnSource.
func (b *backend) Objectives(service siskin.ServiceName) burn.Objectives {
	return burn.FromConfig(b.d.spread)(service)
}

// groupBackend implements admin.GroupControl.
type groupBackend struct{ d *Daemon }

// Local implements admin.GroupControl.
func (b *groupBackend) Local(service siskin.ServiceName) (siskin.GroupView, bool) {
	return b.d.node.LocalView(service)
}

// View implements admin.GroupControl.
func (b *groupBackend) View(ctx context.Context, service siskin.ServiceName) (siskin.GroupView, error) {
	return b.d.node.View(ctx, service)
}

// Promote implements admin.GroupControl.
func (b *groupBackend) Promote(ctx context.Context, service siskin.ServiceName, target siskin.TargetID, force bool) error {
	return b.d.node.Promote(ctx, service, target, force)
}

// configBackend implements admin.Configurator.
type configBackend struct{ d *Daemon }

// View implements admin.Configurator.
func (b *configBackend) View() config.View { return b.d.spread.Snapshot() }

// Apply implements admin.Configurator.
func (b *configBackend) Apply(ctx context.Context, change *config.Change) (siskin.Revision, error) {
	return b.d.spread.Apply(ctx, change)
}

// Revisions implements admin.Configurator.
func (b *configBackend) Revisions(ctx context.Context) ([]admin.VMRevision, error) {
	return b.d.revisions(ctx), nil
}

// Apply commits a change of the configuration.
func (d *Daemon) Apply(ctx context.Context, change *config.Change) (siskin.Revision, error) {
	return d.spread.Apply(ctx, change)
}
