package limit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// planned is a fleet of the planned size: 2,800 VMs in 16 data centres for
// 23,000 services, each with 3 targets in different data centres, 2 slots per
// target and one customer per service.
type planned struct {
	vms     [16][]siskin.VM
	holders map[int]map[siskin.VMID]bool // by bucket
	holds   map[siskin.VMID]map[int]bool
	slots   map[siskin.VMID][]plannedSlot
}

type plannedSlot struct {
	bucket, dc int
	name       string
}

func newPlanned() *planned {
	p := &planned{
		holders: make(map[int]map[siskin.VMID]bool), holds: make(map[siskin.VMID]map[int]bool),
		slots: make(map[siskin.VMID][]plannedSlot),
	}
	for i := range 2800 {
		p.vms[i%16] = append(p.vms[i%16], siskin.VM{ID: siskin.VMID(fmt.Sprint("vm-", i))})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for service := range 23_000 {
		bucket := bucketOf(siskin.CustomerID(fmt.Sprint("customer-", service)))
		for target, dc := range rng.Perm(16)[:3] {
			for slot := range 2 {
				s := plannedSlot{bucket, dc, fmt.Sprintf("Slot/%d-%d/%d", service, target, slot)}
				vm, _ := place.Best(s.name, p.vms[dc])
				p.slots[vm.ID] = append(p.slots[vm.ID], s)
				p.join(bucket, vm.ID)
			}
		}
	}
	return p
}

func (p *planned) join(bucket int, vm siskin.VMID) {
	if p.holders[bucket] == nil {
		p.holders[bucket] = make(map[siskin.VMID]bool)
	}
	if p.holds[vm] == nil {
		p.holds[vm] = make(map[int]bool)
	}
	p.holders[bucket][vm], p.holds[vm][bucket] = true, true
}

// restart moves the slots of a VM to the next VMs in rank order while it is
// away. Those VMs stay holders.
func (p *planned) restart(vm siskin.VM) {
	for _, s := range p.slots[vm.ID] {
		k := slices.IndexFunc(p.vms[s.dc], func(o siskin.VM) bool { return o.ID == vm.ID })
		next, _ := place.Best(s.name, slices.Concat(p.vms[s.dc][:k], p.vms[s.dc][k+1:]))
		p.join(s.bucket, next.ID)
	}
	for bucket := range p.holds[vm.ID] {
		delete(p.holders[bucket], vm.ID) // its earlier incarnation is gone
	}
	clear(p.holds[vm.ID])
	for _, s := range p.slots[vm.ID] {
		p.join(s.bucket, vm.ID)
	}
}

// largest returns the size of the largest object, with three grants per
// record.
func (p *planned) largest(t *testing.T) (most int) {
	values := make(map[int]*object)
	for bucket, holders := range p.holders {
		r := record{Epoch: 1000}
		for vm := range holders {
			r.Holders = append(r.Holders, holderID{vm, 1_800_000_000_000})
		}
		for _, h := range r.Holders[:min(3, len(r.Holders))] {
			r.Grants = append(r.Grants, grant{To: h, Rest: siskin.TotalQuotaUnits / 3})
		}
		o := objectOf(bucket)
		if values[o] == nil {
			values[o] = new(object)
		}
		if err := values[o].set(bucket, &r); err != nil {
			t.Fatal(err)
		}
	}
	for _, o := range values {
		encoded, _ := json.Marshal(o)
		most = max(most, len(encoded))
	}
	return most
}

func (p *planned) counts() (counts []int) {
	for _, holders := range p.holders {
		counts = append(counts, len(holders))
	}
	slices.Sort(counts)
	return counts
}

// TestHoldersAtPlannedSize guards against buckets whose reclaim needs reports
// from a large part of the fleet, and against a start that reads or writes
// more than 256 objects.
func TestHoldersAtPlannedSize(t *testing.T) {
	p := newPlanned()
	counts := p.counts()
	median, most := counts[len(counts)/2], counts[len(counts)-1]
	total := 0
	for vm, held := range p.holds {
		list := make(map[int]bool)
		for bucket := range held {
			list[objectOf(bucket)] = true
		}
		total += len(list)
		if len(list) > 256 {
			t.Errorf("%s: got %d objects, want at most 256", vm, len(list))
		}
	}
	t.Logf("%d buckets in use, holders: median %d, p99 %d, most %d; objects a VM: %.1f on average",
		len(counts), median, counts[len(counts)*99/100], most, float64(total)/float64(len(p.holds)))
	if median < 6 || median > 9 {
		t.Errorf("got a median of %d holders a bucket, want 6 to 9", median)
	}
	if got, want := p.largest(t), 1<<20; got > want {
		t.Errorf("got an object of %d bytes, want at most %d", got, want)
	}
	if testing.Short() {
		return
	}
	rng := rand.New(rand.NewPCG(2, 2))
	for day := range 2 {
		for range 3300 {
			dc := p.vms[rng.IntN(16)]
			p.restart(dc[rng.IntN(len(dc))])
		}
		counts = p.counts()
		t.Logf("after %d days of 3,300 restarts: median %d, p99 %d, most %d; largest object %d bytes", day+1, counts[len(counts)/2], counts[len(counts)*99/100], counts[len(counts)-1], p.largest(t))
	}
}
