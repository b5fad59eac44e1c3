package fleet

import (
	"context"
	"fmt"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/daemon"
	"siskintray.example/siskin/pkg/config"
)

// VM is one VM of a Fleet.
type VM struct {
	*daemon.Daemon

	fleet    *Fleet
	settings *cfgini.Daemon
}

// startVM starts the VM with the given number.
func (f *Fleet) startVM(i int) (*VM, error) {
	s := &cfgini.Daemon{
		VM:       cfgini.VM{ID: fmt.Sprintf("vm-%d", i+1), DataCentre: string(f.Profile.DataCentre(i))},
		Caller:   cfgini.Caller{Address: loopback},
		Peer:     cfgini.Peer{Address: loopback, ForwardAddress: loopback},
		Admin:    cfgini.Admin{Address: loopback},
		Platform: cfgini.Platform{Addresses: []string{f.addresses.Platform}, ReadsPerSecond: 20, WritesPerSecond: 5},
		Token:    cfgini.Token{KeyFile: f.tokenKey()},
		Stop:     cfgini.Stop{Deadline: 20 * time.Second},
		Group:    cfgini.Group{ProbeInterval: 200 * time.Millisecond},
	}
	for _, vm := range f.VMs {
		s.Peer.Seeds = append(s.Peer.Seeds, vm.settings.Peer.Address)
	}
	if c := f.cert; c != nil {
		s.Caller.CertFile, s.Caller.KeyFile = c.cert, c.key
		s.Peer.CertFile, s.Peer.KeyFile, s.Peer.CAFile = c.cert, c.key, c.cert
	}
	vm := &VM{fleet: f, settings: s}
	if err := vm.Start(); err != nil {
		return nil, err
	}
	return vm, nil
}

// Start runs the VM, after Kill or Stop on the same addresses as before.
func (vm *VM) Start() error {
	f, s := vm.fleet, vm.settings
	dc := siskin.DataCentreID(s.VM.DataCentre)
	opts := []daemon.Option{daemon.WithLog(f.log), daemon.WithDrop(f.Links.Drop)}
	if f.remote == nil {
		opts = append(opts, daemon.WithDial(f.Net.Dialer(s.VM.ID, dc).DialContext))
	}
	d, err := daemon.Start(s, opts...)
	if err != nil {
		return err
	}
	vm.Daemon = d
	s.Caller.Address, s.Peer.Address = d.CallerAddress(), d.PeerAddress()
	s.Peer.ForwardAddress, s.Admin.Address = d.ForwardAddress(), d.AdminAddress()
	f.Net.Place(s.Caller.Address, s.VM.ID, dc)
	f.Net.Place(s.Peer.ForwardAddress, s.VM.ID, dc)
	return f.listVM(d.VM())
}

// listVM adds or changes a VM in the platform's list.
func (f *Fleet) listVM(vm siskin.VM) error {
	if f.remote != nil {
		return f.remote.SetVM(vm)
	}
	f.Platform.SetVM(vm)
	return nil
}

// ID returns the VM's id.
func (vm *VM) ID() siskin.VMID { return siskin.VMID(vm.settings.VM.ID) }

// MarkGone lists the VM as terminated at the platform.
func (vm *VM) MarkGone() {
	gone := vm.VM()
	gone.State = siskin.VMGone
	vm.fleet.Platform.SetVM(gone)
}

// Apply makes a change current and waits until it is in force everywhere.
func (f *Fleet) Apply(ctx context.Context, change *config.Change) error {
	for {
		revision, err := f.VMs[0].Apply(ctx, change)
		if err == nil {
			return f.waitRevision(ctx, revision)
		}
		if k := siskin.KindOf(err); k == siskin.BadInput || k == siskin.Conflict {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// Service returns the document of a service in force at the first VM.
func (f *Fleet) Service(name siskin.ServiceName) *config.Service {
	s, _ := f.VMs[0].Service(name) // the fleet's services exist
	return s
}

// pollInterval is the time between two looks at a state that is waited for.
const pollInterval = 20 * time.Millisecond

func (f *Fleet) waitRevision(ctx context.Context, revision siskin.Revision) error {
	return f.wait(ctx, "configuration in force everywhere", func() bool {
		for _, vm := range f.VMs {
			if vm.Status().Revision < revision {
				return false
			}
		}
		return true
	})
}

// waitReady waits until every VM sees all others and every group has a primary
// at each VM that watches it.
func (f *Fleet) waitReady(ctx context.Context) error {
	return f.wait(ctx, "VMs and groups ready", func() bool {
		for _, vm := range f.VMs {
			if !vm.Ready(len(f.VMs)) {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) wait(ctx context.Context, what string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return siskin.NewError(siskin.Unavailable, "fleet did not reach: %s", what).
				WithRemedy("see the log of the VMs").WithCause(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}
