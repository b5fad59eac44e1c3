package burn

import (
	"encoding/json"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
)

// FuzzMerge guards against a panic of Merge or a report on a malformed record.
func FuzzMerge(f *testing.F) {
	r := New(clockwork.NewFakeClockAt(start), siskin.VM{ID: "vm-1"})
	r.Transaction("a", "c", Result{Failed: true, Kind: siskin.NotRun})
	r.WriteGap("a", 8e9)
	data, err := json.Marshal(r.Record())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"VMs":[{"VM":"a"}],"Series":[{"Dimension":"Service","Name":"a"}]}`))
	f.Add([]byte(`{"Series":[{"Dimension":"Service","Windows":[{},{},{},{},{"Done":-1}],"Hour":[{"At":"0001-01-01T00:00:00Z"},{"At":"9999-01-01T00:00:00Z","Total":-5,"Bad":9223372036854775807}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var rec Record
		if json.Unmarshal(data, &rec) != nil {
			return
		}
		merged, err := Merge(rec)
		if err != nil {
			return
		}
		rep := Evaluate(merged, nil)
		if err := rep.WriteText(io.Discard); err != nil {
			t.Error(err)
		}
		if err := rep.WriteHTML(io.Discard); err != nil {
			t.Error(err)
		}
	})
}
