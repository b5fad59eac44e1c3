package limit

import "testing"

// FuzzParseRecord guards against a damaged platform object that crashes the
// process or grants more than all units.
func FuzzParseRecord(f *testing.F) {
	f.Add([]byte(`{"Epoch":1,"Holders":[{"VM":"v1","Incarnation":1}],"Grants":[{"To":{"VM":"v1","Incarnation":1},"Rest":1048576,"Full":true}]}`))
	f.Add([]byte(`{"Epoch":2,"Grants":[{"Rest":600000},{"Rest":600000}]}`))
	f.Add([]byte(`{"Epoch":2,"Grants":[{"Customers":{"a":-1}}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := parseRecord(value)
		if err != nil {
			return
		}
		total := 0
		for _, g := range r.Grants {
			total += int(g.Rest)
		}
		if r.Epoch == 0 || total < 0 || total > 1<<20 {
			t.Errorf("got epoch %d and %d units from %q, want a valid record", r.Epoch, total, value)
		}
	})
}
