package objapi

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
)

type vmRecord struct {
	ID          siskin.VMID
	Incarnation siskin.Incarnation
	DataCentre  siskin.DataCentreID
	PeerAddress string
	State       string
}

type pendingVM struct {
	vm      vmRecord
	visible time.Time
}

// vmList is the list of VMs; changes become visible after a lag.
type vmList struct {
	mu      sync.Mutex
	lag     time.Duration
	clock   siskin.Clock
	pending []pendingVM
	vms     map[siskin.VMID]vmRecord
}

func (l *vmList) set(vm vmRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingVM{vm, l.clock.Now().Add(l.lag)})
}

func (l *vmList) list() []vmRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	kept := l.pending[:0]
	for _, p := range l.pending {
		if p.visible.After(now) {
			kept = append(kept, p)
			continue
		}
		old, ok := l.vms[p.vm.ID]
		if ok && old.State == siskin.VMGone.String() && p.vm.Incarnation <= old.Incarnation {
			continue // gone is final for a run of a VM
		}
		l.vms[p.vm.ID] = p.vm
	}
	l.pending = kept
	vms := make([]vmRecord, 0, len(l.vms))
	for _, vm := range l.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b vmRecord) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}
