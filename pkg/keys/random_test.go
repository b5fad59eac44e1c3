package keys

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/pkg/config"
)

// TestSoak compares Keys with a simple model while documents arrive in any
// order. It guards against a key that is accepted for another customer or
// service, after its withdrawal, or again after an older document arrived.
func TestSoak(t *testing.T) { soak.Rapid(t, randomDocuments) }

// version identifies one version of a document.
type version struct {
	id       siskin.CustomerID
	revision siskin.Revision
}

func randomDocuments(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := &mutableView{docs: make(map[siskin.CustomerID]*config.Customer)}
		c.apply(0)
		k := New(nil, c)
		_ = k.Close() // the test calls refresh itself
		all := map[version]*config.Customer{}
		newest, withdrawn := map[siskin.CustomerID]*config.Customer{}, map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(r, "documents") {
			doc := randomDocument(r, siskin.Revision(rapid.IntRange(1, 30).Draw(r, "revision")))
			if seen := all[version{doc.ID, doc.Revision}]; seen != nil {
				doc = seen // a revision of a document has one content
			}
			all[version{doc.ID, doc.Revision}] = doc
			c.docs[doc.ID] = doc
			c.apply(doc.Revision)
			k.refresh()
			if old := newest[doc.ID]; old == nil || doc.Revision > old.Revision {
				newest[doc.ID] = doc
				for _, key := range doc.Keys {
					withdrawn[string(key.ID)] = withdrawn[string(key.ID)] || key.Withdrawn
				}
			}
			compareKeys(r, k, newest, withdrawn)
		}
	})
}

func randomDocument(r *rapid.T, revision siskin.Revision) *config.Customer {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "customer")
	list := "spare-" + id
	for n := range 3 {
		state := rapid.SampledFrom([]string{"", "granted", "withdrawn"}).Draw(r, "state")
		switch state {
		case "granted":
			list += fmt.Sprintf(",%s%d", id, n)
		case "withdrawn":
			list += fmt.Sprintf(",%s%d!", id, n)
		}
	}
	services := rapid.SampledFrom([]string{"s", "t", "s,t"}).Draw(r, "services")
	return document(siskin.CustomerID(id), revision, "services="+services, "keys="+list)
}

func compareKeys(r *rapid.T, k *Keys, newest map[siskin.CustomerID]*config.Customer, withdrawn map[string]bool) {
	for _, id := range []siskin.CustomerID{"a", "b"} {
		for n := range 3 {
			key := fmt.Sprintf("%s%d", id, n)
			for _, service := range []siskin.ServiceName{"s", "t"} {
				want := !withdrawn[key] && grants(newest[id], key, service)
				grant, err := k.Authenticate(service, key)
				if got := err == nil; got != want || (got && grant.Customer != id) {
					r.Fatalf("key %s at service %s: got %+v, %v, want accepted %v", key, service, grant, err, want)
				}
				grant = siskin.KeyGrant{Customer: id, Key: siskin.KeyID(key)}
				if got := k.Check(service, grant) == nil; got != want {
					r.Fatalf("check of key %s at service %s: got %v, want %v", key, service, got, want)
				}
			}
		}
	}
}

func grants(doc *config.Customer, key string, service siskin.ServiceName) bool {
	if doc == nil {
		return false
	}
	granted, served := false, false
	for _, k := range doc.Keys {
		granted = granted || string(k.ID) == key
	}
	for _, s := range doc.Services {
		served = served || s == service
	}
	return granted && served
}
