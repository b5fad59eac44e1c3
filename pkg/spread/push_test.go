package spread

import (
	"testing"
	"time"

	"siskintray.example/siskin"
)

// TestPushGap guards against a VM that advances its revision although an
// earlier change is missing, and then never fetches that change.
func TestPushGap(t *testing.T) {
	_, f, all := startFleet(t, 2)
	f.setPartitioned(true)
	all[1].platformCutOff.Store(true)
	mustApply(t, all[0], setTarget("op-1", "s", "one"))
	mustApply(t, all[0], setTarget("op-2", "u", "two"))
	docs, _ := all[0].since(afterRevision(1))
	args := &PushArgs{From: all[0].vm.ID, Base: 1, Revision: 2, Documents: docs}
	if err := all[1].Receiver().Push(args, new(PushReply)); err != nil {
		t.Fatal(err)
	}
	if got := all[1].Revision(); got != 0 || targetAddress(all[1], "u") != "two" {
		t.Errorf("after a push with a gap: got revision %d and %q, want 0 and two", got, targetAddress(all[1], "u"))
	}
	f.setPartitioned(false)
	waitForRevision(t, all, 2, maxSpreadTime)
	if got := targetAddress(all[1], "s"); got != "one" {
		t.Errorf("after the gap is closed: got %q, want one", got)
	}
}

// TestPushKnown guards against a VM that does not forward a pushed change
// because it already has the change.
func TestPushKnown(t *testing.T) {
	platform, f, _ := startFleet(t, 0)
	var all []*node
	for _, i := range []int{0, 1, 3} { // vm-1 and vm-3 are in the same data centre
		f.startCutOff = i > 0
		all = append(all, f.start(t, platform, i, Config{ExchangeInterval: time.Hour, Validate: refuseBadService}))
	}
	time.Sleep(200 * time.Millisecond) // wait for the first exchange of each VM
	f.setPartitioned(true)
	mustApply(t, all[0], setTarget("op-1", "s", "one"))
	docs, _ := all[0].since(afterRevision(0))
	args := PushArgs{From: "vm-0", Revision: 1, Documents: docs}
	_ = all[1].Receiver().Push(&args, new(PushReply))
	args.Targets = []siskin.VMID{"vm-3"}
	_ = all[1].Receiver().Push(&args, new(PushReply))
	waitForRevision(t, all, 1, time.Second)
}

// TestEmptyFleet guards against one platform call per VM and exchange in a
// fleet without a configuration.
func TestEmptyFleet(t *testing.T) {
	platform, f, _ := startFleet(t, 0)
	const vms = 7
	for i := range vms {
		f.start(t, platform, i, Config{ExchangeInterval: 10 * time.Millisecond})
	}
	time.Sleep(time.Second)
	// Within 100 exchanges the interval doubles 5 times after the fourth. Each
	// VM may be a watcher and a collector before the others have started, with
	// one watch, and one read and one write of the status.
	if got, want := platform.Stats().Total(), int64(vms*(5+1+2)); got > want {
		t.Errorf("platform calls in 100 exchanges of %d VMs: got %d, want at most %d", vms, got, want)
	}
}
