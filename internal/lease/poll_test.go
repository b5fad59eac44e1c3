package lease

import (
	"testing"

	"siskintray.example/siskin"
)

// TestPoll guards against leases that are based on replicas which may have lost
// a claim while another replica may be the target of a promotion, and against
// healthy services without a lease.
func TestPoll(t *testing.T) {
	var (
		free    = siskin.ControlStatus{Term: 3}
		behind  = siskin.ControlStatus{Term: 2}
		claimed = siskin.ControlStatus{Term: 3, PauseTerm: 40}
		former  = siskin.ControlStatus{Term: 2, Primary: true}
	)
	type replica struct {
		status  siskin.ControlStatus
		trusted bool
	}
	for _, c := range []struct {
		name            string
		sync            int
		answers         []replica
		replicas, group int
		want            bool
		down            int // replicas that are not running
	}{
		{"one trusted replica", 1, []replica{{free, true}}, 2, 3, true, 0},
		{"a trusted replica and a claimed one", 1, []replica{{claimed, true}, {free, true}}, 2, 3, true, 0},
		{"a trusted replica that is claimed", 1, []replica{{claimed, true}}, 2, 3, false, 0},
		{"a trusted replica of an earlier term", 1, []replica{{behind, true}}, 2, 3, false, 0},
		{"two trusted replicas, one claimed, two needed", 2, []replica{{free, true}, {claimed, true}}, 2, 3, false, 0},
		{"two untrusted replicas", 1, []replica{{free, false}, {free, false}}, 2, 3, true, 0},
		{"two untrusted replicas, one of an earlier term", 1, []replica{{free, false}, {behind, false}}, 2, 3, true, 0},
		{"two untrusted replicas, one claimed", 1, []replica{{free, false}, {claimed, false}}, 2, 3, false, 0},
		{"an untrusted replica and one without an answer", 1, []replica{{free, false}}, 2, 3, false, 0},
		{"an untrusted replica and one that is not listed", 1, []replica{{free, false}}, 1, 3, false, 0},
		{"an untrusted replica and a former primary", 1, []replica{{free, false}, {former, false}}, 2, 3, false, 0},
		{"an untrusted replica and one that is down", 1, []replica{{free, false}}, 2, 3, true, 1},
		{"a claimed replica and one that is down", 1, []replica{{claimed, false}}, 2, 3, false, 1},
		{"all replicas are down", 1, nil, 2, 3, false, 2},
		{"all replicas follow an earlier term", 1, []replica{{behind, false}, {behind, false}}, 2, 3, false, 0},
		{"the only replica is untrusted", 1, []replica{{free, false}}, 1, 2, true, 0},
		{"two replicas needed, one untrusted", 2, []replica{{free, true}, {free, false}}, 2, 3, true, 0},
		{"two replicas needed, one of an earlier term", 2, []replica{{free, true}, {behind, true}}, 2, 3, false, 0},
	} {
		p := Poll{Term: 3, SyncReplicas: c.sync, Replicas: c.replicas, GroupSize: c.group}
		for _, r := range c.answers {
			p.Add(r.status, r.trusted)
		}
		for range c.down {
			p.AddDown()
		}
		if got := p.Confirmed(); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
