package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"pgregory.net/rapid"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// TestWatchers guards against a group that does not have two watchers although
// it has two homes, against watchers in the same data centre when the homes are
// in several, and against VMs that disagree on the watchers of a group.
func TestWatchers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var live []siskin.VM
		for i := range rapid.IntRange(1, 12).Draw(rt, "vms") {
			live = append(live, siskin.VM{
				ID:         siskin.VMID(fmt.Sprint("vm-", i)),
				DataCentre: siskin.DataCentreID(fmt.Sprint("dc-", rapid.IntRange(0, 3).Draw(rt, "dc"))),
			})
		}
		s := &config.Service{Name: "ledger", Slots: rapid.IntRange(1, 3).Draw(rt, "slots")}
		for i := range 3 {
			s.Targets = append(s.Targets, config.Target{ID: siskin.TargetID(fmt.Sprint("ledger/", i)), DataCentre: siskin.DataCentreID(fmt.Sprint("dc-", i))})
		}
		homes := newHomes(&fakeMembers{live: live})
		all, watchers := homes.rankedHomes(s), homes.watchersOf(s)
		if want := min(2, len(homes.ofService(s))); len(watchers) != want {
			rt.Fatalf("watchers: got %v, want %d", watchers, want)
		}
		places := make(map[siskin.DataCentreID]bool)
		for _, vm := range all {
			places[vm.DataCentre] = true
		}
		if len(places) > 1 && watchers[0].DataCentre == watchers[1].DataCentre {
			rt.Fatalf("watchers: got both in %s of %d data centres", watchers[0].DataCentre, len(places))
		}
		other := newHomes(&fakeMembers{live: live}).rankedHomes(s)
		for i := range all {
			if all[i].ID != other[i].ID {
				rt.Fatalf("rank: got %v and %v", all, other)
			}
		}
	})
}

// TestHomesLearnFromWatchers guards against homes that do not receive a change of
// primary from the watchers, and against more than two VMs that probe.
func TestHomesLearnFromWatchers(t *testing.T) {
	vms, targets, nodes := startNodes(t)
	await := func(what string, done func() bool) {
		t.Helper()
		for begun := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
			if time.Since(begun) > 15*time.Second {
				t.Fatalf("%s: not after 15 s", what)
			}
		}
	}
	passive := func() (n int) {
		for _, node := range nodes {
			if w, ok := node.groups.running.Get("ledger"); ok && w.Passive() {
				n++
			}
		}
		return n
	}
	await("one home of three that does not probe", func() bool { return passive() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := nodes[0].Promote(ctx, "ledger", targets[1].ID(), false); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	await("change known to every home", func() bool {
		for _, node := range nodes {
			w, ok := node.groups.running.Get("ledger")
			if ok && w.Group.View().Primary != targets[1].ID() {
				return false
			}
		}
		return true
	})
	t.Logf("change known to every home after %v", time.Since(begun))
	for i, address := range vms {
		conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://shop:shop@%s/ledger%%2Fwrite?sslmode=disable&default_query_exec_mode=simple_protocol", address))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, 'v')", fmt.Sprint("after-", i)); err != nil {
			t.Errorf("write through VM %d after the change: got %v, want nil", i, err)
		}
		_ = conn.Close(ctx)
	}
}
