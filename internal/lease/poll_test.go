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
		{"one witness", 1, []replica{{free, true}}, 2, 3, true, 0},
		{"a witness beside a claimed replica", 1, []replica{{claimed, true}, {free, true}}, 2, 3, true, 0},
		{"a witness that is claimed", 1, []replica{{claimed, true}}, 2, 3, false, 0},
		{"a witness of another term", 1, []replica{{behind, true}}, 2, 3, false, 0},
		{"one of two witnesses", 2, []replica{{free, true}, {claimed, true}}, 2, 3, false, 0},
		{"all replicas have just started", 1, []replica{{free, false}, {free, false}}, 2, 3, true, 0},
		{"one has, and one is behind", 1, []replica{{free, false}, {behind, false}}, 2, 3, true, 0},
		{"one has, and one is claimed", 1, []replica{{free, false}, {claimed, false}}, 2, 3, false, 0},
		{"one has, and one is silent", 1, []replica{{free, false}}, 2, 3, false, 0},
		{"one has, and one is not listed", 1, []replica{{free, false}}, 1, 3, false, 0},
		{"one has, and one leads an earlier term", 1, []replica{{free, false}, {former, false}}, 2, 3, false, 0},
		{"one has, and one does not run", 1, []replica{{free, false}}, 2, 3, true, 1},
		{"one is claimed, and one does not run", 1, []replica{{claimed, false}}, 2, 3, false, 1},
		{"none runs", 1, nil, 2, 3, false, 2},
		{"all are behind", 1, []replica{{behind, false}, {behind, false}}, 2, 3, false, 0},
		{"the only replica has just started", 1, []replica{{free, false}}, 1, 2, true, 0},
		{"both acknowledge, one has just started", 2, []replica{{free, true}, {free, false}}, 2, 3, true, 0},
		{"both acknowledge, one is behind", 2, []replica{{free, true}, {behind, true}}, 2, 3, false, 0},
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
