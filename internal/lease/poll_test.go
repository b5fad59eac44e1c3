package lease

import (
	"testing"

	"siskintray.example/siskin"
)

// TestPoll guards against leases that rest on replicas which may have forgotten a
// claim while another one may be the target of an order, and against healthy services
// without a lease.
func TestPoll(t *testing.T) {
	var (
		free    = siskin.ControlStatus{Term: 3}
		behind  = siskin.ControlStatus{Term: 2}
		claimed = siskin.ControlStatus{Term: 3, HeldTerm: 40}
		former  = siskin.ControlStatus{Term: 2, Primary: true}
	)
	type replica struct {
		status  siskin.ControlStatus
		witness bool
	}
	for _, c := range []struct {
		name            string
		sync            int
		answers         []replica
		replicas, group int
		want            bool
	}{
		{"one witness", 1, []replica{{free, true}}, 2, 3, true},
		{"a witness beside a claimed replica", 1, []replica{{claimed, true}, {free, true}}, 2, 3, true},
		{"a witness that is claimed", 1, []replica{{claimed, true}}, 2, 3, false},
		{"a witness of another term", 1, []replica{{behind, true}}, 2, 3, false},
		{"one of two witnesses", 2, []replica{{free, true}, {claimed, true}}, 2, 3, false},
		{"all replicas have just started", 1, []replica{{free, false}, {free, false}}, 2, 3, true},
		{"one has, and one is behind", 1, []replica{{free, false}, {behind, false}}, 2, 3, true},
		{"one has, and one is claimed", 1, []replica{{free, false}, {claimed, false}}, 2, 3, false},
		{"one has, and one is silent", 1, []replica{{free, false}}, 2, 3, false},
		{"one has, and one is not listed", 1, []replica{{free, false}}, 1, 3, false},
		{"one has, and one leads an earlier term", 1, []replica{{free, false}, {former, false}}, 2, 3, false},
		{"all are behind", 1, []replica{{behind, false}, {behind, false}}, 2, 3, false},
		{"the only replica has just started", 1, []replica{{free, false}}, 1, 2, true},
		{"both acknowledge, one has just started", 2, []replica{{free, true}, {free, false}}, 2, 3, true},
		{"both acknowledge, one is behind", 2, []replica{{free, true}, {behind, true}}, 2, 3, false},
	} {
		p := Poll{Term: 3, Sync: c.sync, Replicas: c.replicas, Group: c.group}
		for _, r := range c.answers {
			p.Add(r.status, r.witness)
		}
		if got := p.Confirmed(); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
