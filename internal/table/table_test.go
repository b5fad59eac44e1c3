package table

import (
	"testing"
	"time"

	"siskintray.example/siskin"
)

// TestVersions guards against a deployment that is replaced by an earlier
// version, and against a missing notification of a change.
func TestVersions(t *testing.T) {
	tab := New()
	changed := tab.Changed()
	for _, c := range []struct {
		version, want siskin.Revision
		applied       bool
	}{{3, 3, true}, {2, 3, false}, {3, 3, false}, {9, 9, true}, {8, 9, false}} {
		if got := tab.Apply(&siskin.Deployment{Version: c.version}, nil); got != c.applied {
			t.Errorf("version %d: got applied %t, want %t", c.version, got, c.applied)
		}
		if got := tab.Snapshot().Version; got != c.want {
			t.Errorf("current version after version %d: got %d, want %d", c.version, got, c.want)
		}
	}
	select {
	case <-changed:
	default:
		t.Error("channel of Changed: got open after a change, want closed")
	}
	tab.Confirm(time.Unix(7, 0))
	tab.Confirm(time.Unix(5, 0))
	if got, want := tab.Confirmed(), time.Unix(7, 0); !got.Equal(want) {
		t.Errorf("confirmed: got %v, want %v", got, want)
	}
}

// TestLookups guards against lookups that return the customer, route or
// service of another key or database.
func TestLookups(t *testing.T) {
	tab := New()
	tab.Apply(&siskin.Deployment{
		Version: 1, Routes: []siskin.RouteSpec{{Database: "db", Service: "s"}}, Services: []siskin.ServiceSpec{{Name: "s"}},
		Customers: []siskin.CustomerSpec{{ID: "a", Keys: []string{"k1", "k2"}}, {ID: "b", Keys: []string{"k3"}}},
	}, nil)
	s := tab.Snapshot()
	for key, want := range map[string]siskin.CustomerID{"k1": "a", "k2": "a", "k3": "b", "": "", "k": ""} {
		if got, ok := s.CustomerByDigest(Digest(key)); got != want || ok != (want != "") {
			t.Errorf("owner of %q: got %q %t, want %q", key, got, ok, want)
		}
	}
	if r, ok := s.Route("db"); !ok || r.Service != "s" {
		t.Errorf("route: got %v %t, want service s", r, ok)
	}
	if _, ok := s.Route("other"); ok {
		t.Error("route of another database: got one, want none")
	}
}
