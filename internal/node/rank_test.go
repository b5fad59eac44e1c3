package node

import (
	"testing"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// TestRankFollowsFleet guards against a cached rank that is used after a change
// of the fleet: two VMs that both have rank 0 race in elections.
func TestRankFollowsFleet(t *testing.T) {
	vm := func(id siskin.VMID) siskin.VM { return siskin.VM{ID: id, DataCentre: "a", State: siskin.VMLive} }
	service := &config.Service{Name: "ledger", Slots: 16, Targets: []config.Target{{ID: "ledger/1", DataCentre: "a"}}}
	members := &changingMembers{fakeMembers: fakeMembers{live: []siskin.VM{vm("vm-1"), vm("vm-2")}}, changed: make(chan struct{})}
	homes := newHomes(members)
	first, second := &groups{self: "vm-1", homes: homes}, &groups{self: "vm-2", homes: homes}
	if got, want := first.rank(service)+second.rank(service), 1; got != want {
		t.Fatalf("sum of the ranks of two VMs: got %d, want %d", got, want)
	}
	later := first
	if second.rank(service) == 1 {
		later = second
	}
	members.live = []siskin.VM{vm(later.self)}
	close(members.changed)
	if got := later.rank(service); got != 0 {
		t.Errorf("rank of the only VM left: got %d, want 0", got)
	}
}

// changingMembers is a fleet whose changes the test signals.
type changingMembers struct {
	fakeMembers
	changed chan struct{}
}

// Changed implements siskin.Members.
func (m *changingMembers) Changed() <-chan struct{} { return m.changed }
