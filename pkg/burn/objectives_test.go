package burn

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// TestObjectivesOfRecord guards against a record that is compared with other
// objectives than those of its service, in particular after records were saved
// and merged.
func TestObjectivesOfRecord(t *testing.T) {
	configured := func(o *config.Objectives) func(siskin.ServiceName) Objectives {
		return FromConfig(config.NewStaticView([]*config.Service{{Name: "ledger", Objectives: o}}, nil))
	}
	clock := clockwork.NewFakeClockAt(start)
	record := func(vm siskin.VMID, of func(siskin.ServiceName) Objectives) Record {
		r := New(clock, siskin.VM{ID: vm}, WithObjectives(of))
		r.Transaction("ledger", "shop", Result{Latency: 300 * time.Millisecond})
		r.Transaction("other", "shop", Result{Latency: 300 * time.Millisecond})
		data, err := json.Marshal(r.Record())
		if err != nil {
			t.Fatal(err)
		}
		var read Record
		if err := json.Unmarshal(data, &read); err != nil {
			t.Fatal(err)
		}
		clock.Advance(time.Minute)
		return read
	}
	early := record("vm-1", configured(nil))
	late := record("vm-2", configured(&config.Objectives{Availability: 0.95, LatencyThreshold: config.Duration(time.Second)}))
	for _, records := range [][]Record{{early, late}, {late, early}} {
		merged, err := Merge(records...)
		if err != nil {
			t.Fatal(err)
		}
		for of, want := range map[string]float64{"record": 0.95, "given": 0.5} {
			var given func(siskin.ServiceName) Objectives
			if of == "given" {
				given = configured(&config.Objectives{Availability: 0.5})
			}
			for _, s := range Evaluate(merged, given).Series {
				want := want
				if s.Name != "ledger" {
					want = DefaultObjectives.Availability
				}
				if got := s.Objectives[0].Target; got != want {
					t.Errorf("%s %s by the objectives of the %s: got %v, want %v", s.Dimension, s.Name, of, got, want)
				}
			}
		}
	}
	if got := late.Series[0].Windows[0].Slow; late.Series[0].Name != "ledger" || got != 0 {
		t.Errorf("%s: got %d slow transactions, want 0 by its threshold of 1s", late.Series[0].Name, got)
	}
}
