package path

import (
	"fmt"
	"io"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/views"
)

// newPath returns the Path of the first of 30 VMs in two data centres. Three
// VMs have a higher capacity. One service has targets in the second data
// centre.
func newPath(t testing.TB) (*Path, []siskin.TargetInfo) {
	t.Helper()
	node := func(i int) crew.Node {
		n := crew.Node{ID: siskin.VMID(fmt.Sprintf("vm-%02d", i)), Run: 1, Address: "127.0.0.1:1", DataCentre: "a", Capacity: 200}
		if i%2 == 1 {
			n.DataCentre = "b"
		}
		if i > 20 && i%10 >= 7 {
			n.Capacity = 800
		}
		return n
	}
	c := crew.New(crew.Config{Clock: boot.Clock{}, Self: node(0), Log: logs.New("error", "json", io.Discard)})
	for i := 1; i < 30; i++ {
		c.Learn(node(i))
	}
	r := roster.New()
	targets := []siskin.TargetInfo{
		{ID: "p", Service: "s", DataCentre: "b", Primary: true}, {ID: "r", Service: "s", DataCentre: "b"},
	}
	r.Replace(targets, 1, time.Unix(1, 0))
	c.Refresh()
	return New(Config{Clock: boot.Clock{}, Crew: c, Roster: r, Views: views.New()}), targets
}

// TestHomesAtStart guards against relays that know no home to ask for the first
// proof after a start. Without a proof, their data centres had no minimum
// position (floor) for reads of replicas, and all reads went to primaries.
func TestHomesAtStart(t *testing.T) {
	p, targets := newPath(t)
	want, ok := p.Home(targets[0])
	if !ok {
		t.Fatal("home of the primary: got none")
	}
	homes, _ := p.PrimaryHomes([]siskin.ServiceSpec{{Name: "s"}})
	if !homes[want] || len(homes) != 1 {
		t.Errorf("homes of primaries without a proof: got %v, want %s", homes, want)
	}
	p.cfg.Views.RecordProof("s", views.PrimaryProof{Target: "r", At: p.cfg.Clock.Now()})
	want, _ = p.Home(targets[1])
	if homes, _ = p.PrimaryHomes([]siskin.ServiceSpec{{Name: "s"}}); !homes[want] {
		t.Errorf("homes of primaries with a proof: got %v, want %s", homes, want)
	}
}

// TestHomesOfMixedFleet guards against homes on VMs of low capacity, or outside
// of the target's data centre, while a VM of high capacity is available.
func TestHomesOfMixedFleet(t *testing.T) {
	p, targets := newPath(t)
	for _, target := range targets {
		for i, vm := range p.ranked(target) {
			if vm.DataCentre != "b" || (vm.Capacity == 800) != (i < 2) {
				t.Errorf("rank %d for %s: got %s with capacity %d in %s, want the two VMs of b with capacity 800 first", i, target.ID, vm.ID, vm.Capacity, vm.DataCentre)
			}
		}
	}
}
