package front

import (
	"fmt"
	"testing"
	"time"
)

// TestLeavingPrimary guards against a leaving primary that keeps receiving
// writes while no replica is promoted; reads move to other targets at once. An
// invariant in the home panics when a transaction begins later than 3 s after
// the target started to leave.
func TestLeavingPrimary(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, nil)
	f.targets[0].SetLeaving(true)
	f.group.refresh()
	view := f.group.View()
	for _, vm := range f.vms {
		vm.home.Observe(f.service.Name, &view)
	}
	start := time.Now()
	refused := 0
	for i := 0; time.Since(start) < 3500*time.Millisecond; i++ {
		vm := f.vms[i%len(f.vms)]
		began := time.Since(start)
		a := vm.connectRaw(t, "badges/short").query(fmt.Sprintf("insert into kv values ('k%d', 'x')", i))
		if a.code() == "57P03" {
			refused++
		} else if began > 2500*time.Millisecond || a.code() != "" {
			t.Fatalf("after %v: got code %q, want success until 2 s and 57P03 later", began, a.code())
		}
		if a := vm.connectRaw(t, "badges/aged").query("select 1"); a.code() != "" {
			t.Fatalf("read: got %+v, want an answer of another target", a.err)
		}
	}
	if refused == 0 {
		t.Error("got no refused write, want some")
	}
	f.targets[0].SetLeaving(false)
	f.group.refresh()
	view = f.group.View()
	for _, vm := range f.vms {
		vm.home.Observe(f.service.Name, &view)
		if a := vm.connectRaw(t, "badges/write").query("insert into kv values ('back-" + string(vm.id) + "', 'x')"); a.code() != "" {
			t.Errorf("%s: got %+v after the target is no longer leaving, want success", vm.id, a.err)
		}
	}
}
