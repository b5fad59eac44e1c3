package roster

import (
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"siskintray.example/siskin"
)

const testEvacuationLimit = 5 * time.Second

// newEvacuationRoster returns a roster that requires evacuations, with the
// targets a, b and c in dc-a, dc-b and dc-c.
func newEvacuationRoster() *Roster {
	r := New()
	r.RequireEvacuations(testEvacuationLimit)
	r.Replace(threeTargets(), 1, time.Unix(1000, 0))
	return r
}

func threeTargets() []siskin.TargetInfo {
	var list []siskin.TargetInfo
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, siskin.TargetInfo{ID: siskin.TargetID(id), Service: "s", DataCentre: siskin.DataCentreID("dc-" + id)})
	}
	return list
}

// TestEvacuations guards against statements to an evacuated data centre,
// against applying older lists, and against evacuations that stay in force
// after they were revoked. Each line has a time, a version and the evacuated
// data centres. In the result, "-" marks targets that get no new work and "x"
// those that get no statements at all.
func TestEvacuations(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "evacuations.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			r := newEvacuationRoster()
			var now time.Time
			for line := range strings.Lines(string(file.Data)) {
				input, want, ok := strings.Cut(strings.TrimSpace(line), " => ")
				if !ok {
					continue
				}
				words := strings.Fields(input)
				after, err := time.ParseDuration(words[0])
				version, err2 := strconv.ParseUint(words[1], 10, 64)
				if err != nil || err2 != nil {
					t.Fatalf("got %q, want a time and a version", input)
				}
				at := time.Unix(1000, 0).Add(after)
				if at.After(now) {
					now = at
				}
				var list []siskin.DataCentreID
				for _, dc := range words[2:] {
					list = append(list, siskin.DataCentreID(dc))
				}
				r.ReplaceEvacuations(list, siskin.Version(version), at)
				r.Replace(threeTargets(), siskin.Version(version), at.Add(time.Nanosecond))
				if got := formatTargets(r, now); got != want {
					t.Errorf("%s: got %s, want %s", input, got, want)
				}
			}
		})
	}
}

// formatTargets returns the ids of the targets with the marks that
// TestEvacuations describes.
func formatTargets(r *Roster, now time.Time) string {
	var list []string
	for _, t := range r.Service("s") {
		mark := ""
		switch blocked := r.Blocked(t.ID, now); {
		case blocked && t.Evacuated && r.Leaving(t.ID, now):
			mark = "x"
		case blocked:
			mark = "?" // a blocked target must also be evacuated and leaving
		case t.Evacuated:
			mark = "-"
		}
		list = append(list, mark+string(t.ID))
	}
	return strings.Join(list, " ")
}

// TestUnknownEvacuations guards against a VM that sends statements after its
// start before it knows which data centres are evacuated, and against one that
// waits for a list where the platform has none.
func TestUnknownEvacuations(t *testing.T) {
	r := newEvacuationRoster()
	if _, ok := r.Target("a"); ok || len(r.Service("s")) > 0 || r.Ready() {
		t.Errorf("targets before a list of evacuations: got %v, known %t, want none", r.Service("s"), r.Ready())
	}
	changed := r.Changed()
	r.ReplaceEvacuations([]siskin.DataCentreID{"dc-a"}, 3, time.Unix(1001, 0))
	select {
	case <-changed:
	default:
		t.Error("the first list of evacuations: got no change, want one")
	}
	if info, ok := r.Target("a"); !ok || !info.Evacuated || !r.Ready() {
		t.Errorf("target with a list of evacuations: got %+v %t, want it evacuated", info, ok)
	}
	without := New()
	without.Replace([]siskin.TargetInfo{{ID: "a", Service: "s", Evacuated: true}}, 1, time.Unix(1000, 0))
	without.ReplaceEvacuations([]siskin.DataCentreID{""}, 3, time.Unix(1001, 0))
	if info, ok := without.Target("a"); !ok || info.Evacuated || !without.Ready() {
		t.Errorf("target where the platform has no evacuations: got %+v %t, want it known and not evacuated", info, ok)
	}
}

// TestConfirmEvacuations guards against confirming a list whose version differs
// from the one in the store, since a new evacuation would then not be read.
func TestConfirmEvacuations(t *testing.T) {
	r := newEvacuationRoster()
	if r.ConfirmEvacuations(0, time.Unix(1000, 0)) {
		t.Error("confirmed without a list: got true, want false")
	}
	r.ReplaceEvacuations(nil, 4, time.Unix(1000, 0))
	for _, c := range []struct {
		version siskin.Version
		want    bool
	}{{3, false}, {5, false}, {4, true}} {
		if got := r.ConfirmEvacuations(c.version, time.Unix(1002, 0)); got != c.want {
			t.Errorf("version 4 confirmed by %d: got %t, want %t", c.version, got, c.want)
		}
	}
	if _, _, at := r.Evacuations(); !at.Equal(time.Unix(1002, 0)) {
		t.Errorf("time of the list: got %v, want the time of its confirmation", at)
	}
}

// TestTakenBackBeforeTargets guards against overloading a target that became
// cold during an evacuation. The revocation must not take effect before the
// list of targets that shows that the target is cold.
func TestTakenBackBeforeTargets(t *testing.T) {
	r, at := newEvacuationRoster(), func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	r.ReplaceEvacuations([]siskin.DataCentreID{"dc-a", "dc-b"}, 2, at(0))
	r.ReplaceEvacuations([]siskin.DataCentreID{"dc-b", "dc-c"}, 5, at(time.Second))
	if got, want := formatTargets(r, at(time.Second)), "xa xb -c"; got != want {
		t.Errorf("before a list of targets: got %s, want %s", got, want)
	}
	if list, _, _ := r.Evacuations(); len(list) != 2 || list[0] != "dc-b" {
		t.Errorf("list for peers: got %v, want the list of the store", list)
	}
	r.Replace(threeTargets(), 4, at(2*time.Second))
	if got, want := formatTargets(r, at(2*time.Second)), "xa xb -c"; got != want {
		t.Errorf("with an older list of targets: got %s, want %s", got, want)
	}
	targets := threeTargets()
	targets[0].ColdRemaining = 10 * time.Second
	r.Replace(targets, 5, at(3*time.Second))
	if got, want := formatTargets(r, at(3*time.Second)), "a xb -c"; got != want {
		t.Errorf("with a list of targets of that version: got %s, want %s", got, want)
	}
	if !r.MayBeCold("a", at(0), time.Time{}, at(3*time.Second)) {
		t.Error("cold target: got false, want true")
	}
}
