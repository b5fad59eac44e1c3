package node

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// TestWatchersFollowSlots guards against groups that keep the watchers of an
// earlier number of slots, which left some groups without a watcher. A group
// keeps running with its old document when only its slots change.
func TestWatchersFollowSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var live []siskin.VM
		for i := range 12 {
			live = append(live, siskin.VM{ID: siskin.VMID(fmt.Sprint("vm-", i)), DataCentre: dataCentre(i)})
		}
		before := &config.Service{Name: siskin.ServiceName(rapid.StringMatching("[a-z]{4}").Draw(rt, "service"))}
		for i := range 3 {
			id := siskin.TargetID(fmt.Sprintf("%s/%d", before.Name, i))
			before.Targets = append(before.Targets, config.Target{ID: id, DataCentre: dataCentre(i)})
		}
		before.Slots = rapid.IntRange(1, 4).Draw(rt, "slots before")
		after := *before
		after.Slots = rapid.IntRange(1, 4).Draw(rt, "slots after")
		homes := newHomes(&fakeMembers{live: live})
		view := config.NewStaticView([]*config.Service{&after}, nil)
		watchers := 0
		for _, vm := range homes.ofService(&after) {
			g := &groups{self: vm.ID, homes: homes, config: view}
			if g.isWatcher(g.current(before)) {
				watchers++
			}
		}
		if watchers != watcherCount {
			rt.Fatalf("homes that probe: got %d, want %d", watchers, watcherCount)
		}
	})
}
