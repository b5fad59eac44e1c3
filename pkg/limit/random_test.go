package limit

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/pkg/config"
)

func init() { _ = flag.Set("rapid.seed", "7") } // -rapid.seed overrides it

// TestRandomFailures guards against sequences of failures that no script
// covers: units are conserved, no window exceeds rate x time + burst, and all
// units are in use again after the failures end.
func TestRandomFailures(t *testing.T) {
	if testing.Short() {
		_ = flag.Set("rapid.checks", "15")
	}
	randomFailures(t)
}

// TestSoak repeats TestRandomFailures with increasing seeds.
func TestSoak(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	defer func(before string) { _ = checks.Value.Set(before) }(checks.Value.String())
	_ = checks.Value.Set("15") // so that a run of one seed takes about a second
	soak.Rapid(t, randomFailures)
}

func randomFailures(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		doc := &config.Customer{ID: "a", Rate: 100, Burst: 50}
		f := newFleet(rapid.Uint64().Draw(r, "seed"), doc)
		for i := range rapid.IntRange(1, 4).Draw(r, "vms") {
			f.start(fmt.Sprint("vm-", i), 1, fmt.Sprint("dc-", i%3))
		}
		var checker windowChecker
		run := func(d time.Duration, busy int) {
			for end := f.at.Add(d); f.at.Before(end); {
				f.step()
				if n := f.vms[busy%len(f.vms)]; busy < 8 && n.up() && n.l.Admit(f.at, "a", 1).Admitted {
					checker.admitted(f.at, float64(doc.Rate))
				}
			}
			f.sum("a")
		}
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			one, two := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(r, "one")], f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(r, "two")]
			injectFailure(f, rapid.IntRange(0, 9).Draw(r, "fault"), one, two)
			run(time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms"))*time.Millisecond, rapid.IntRange(0, 9).Draw(r, "busy"))
		}
		if got, want := checker.worst, float64(doc.Burst)+1e-6; got > want {
			r.Fatalf("got a window with %.3f above rate x time, want at most %.0f", got, want)
		}
		endFailures(r, f, run)
	})
}

// injectFailure begins or ends one failure.
func injectFailure(f *fleet, fault int, one, two *node) {
	switch fault {
	case 0:
		one.dead, one.vm.State = true, siskin.VMDead
	case 1:
		if one.dead {
			one.vm.State = siskin.VMGone
		}
	case 2:
		one.paused = f.at.Add(5 * time.Second)
	case 3:
		f.partitioned = func(a, b *node) bool { return (a == one && b == two) || (a == two && b == one) }
	case 4:
		f.partitioned = func(a, b *node) bool { return false }
	case 5:
		f.platformDown = !f.platformDown
	case 6:
		f.lossRate = 0.3
	case 7:
		f.lossRate = 0
	case 8:
		// A restart takes a larger incarnation, after the earlier run has ended.
		latest, _ := one.Lookup(one.vm.ID)
		if latest.State == siskin.VMDead {
			f.start(string(one.vm.ID), int(latest.Incarnation)+1, string(one.vm.DataCentre))
		}
	case 9:
		f.start(fmt.Sprint("vm-", len(f.vms)), 1, fmt.Sprint("dc-", len(f.vms)%3))
	}
}

// endFailures ends all failures and requires that no unit is lost for good.
func endFailures(r *rapid.T, f *fleet, run func(time.Duration, int)) {
	f.platformDown, f.lossRate = false, 0
	f.partitioned = func(a, b *node) bool { return false }
	for _, n := range f.vms {
		if n.dead {
			n.vm.State = siskin.VMGone
		}
	}
	f.start("last", 1, "dc-0")
	run(40*time.Second, 0)
	if got, want := f.sum("a"), siskin.TotalQuotaUnits; got != want {
		r.Fatalf("got %d units in use after all failures ended, want %d", got, want)
	}
}
