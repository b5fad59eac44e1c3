package node

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// topology gives the front the groups, and the homes to forward transactions
// to. It implements front.Topology.
type topology struct {
	self   siskin.VM
	homes  *homes
	groups *groups
	remote *remoteViews
}

// View implements front.Topology.
func (t *topology) View(service siskin.ServiceName) (siskin.GroupView, <-chan struct{}, bool) {
	if g, ok := t.groups.Group(service); ok {
		// Take the channel before the view, so that no change is missed.
		changed := g.Changed()
		return g.View(), changed, true
	}
	view, _, changed := t.remote.get(service)
	return view, changed, len(view.Targets) > 0
}

// Home implements front.Topology.
func (t *topology) Home(target config.Target, slot siskin.Slot) (siskin.VM, bool, bool) {
	vm, ok := t.homes.of(target, slot)
	return vm, vm.ID == t.self.ID, ok
}

// DataCentre implements front.Topology.
func (t *topology) DataCentre() siskin.DataCentreID { return t.self.DataCentre }
