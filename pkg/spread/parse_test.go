package spread

import (
	"encoding/json"
	"testing"

	"siskintray.example/siskin"
)

// FuzzParse guards against objects and messages that crash a VM, and against
// documents that are installed under another name.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Revision":2,"Recent":[{"Revision":1,"Operation":"a"},{"Revision":2,"Operation":"b"}]}`))
	f.Add([]byte(`{"Kind":"Service","Name":"s","Revision":1,"Body":{"Name":"s"}}`))
	f.Add([]byte(`{"Kind":"Service","Name":"s","Revision":1,"Body":null}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if h, err := parseHead(siskin.Object{Version: 1, Value: b}); err == nil {
			h.next("op", 0)
		}
		var d Document
		if json.Unmarshal(b, &d) != nil {
			return
		}
		e, err := decode(d)
		if err != nil {
			return
		}
		s := newStore()
		s.install([]*entry{e}, d.Revision)
		if v, ok := s.Service(siskin.ServiceName(d.Name)); ok && string(v.Name) != d.Name {
			t.Errorf("got service %s under the name %s", v.Name, d.Name)
		}
		s.Services()
		s.since(afterRevision(0))
	})
}
