package entry

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/views"
)

// lru is the connections of one target's home: the least recently used one
// gives way to a customer without a connection.
type lru struct {
	limit  int
	conns  []siskin.CustomerID // last used at the end
	opened int
}

func (l *lru) use(c siskin.CustomerID) {
	if i := slices.Index(l.conns, c); i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	} else {
		l.opened++
		if len(l.conns) == l.limit {
			l.conns = l.conns[1:]
		}
	}
	l.conns = append(l.conns, c)
}

// openedBy plays reads of many customers from four data centres and returns the
// part of them that opened a connection, and the part at the busiest replica.
func openedBy(scarce bool) (opened, busiest float64) {
	const customers, reads, limit = 76, 20000, 31
	rng := rand.New(rand.NewSource(1))
	zipf := rand.NewZipf(rng, 1.2, 4, customers-1)
	targets := []siskin.TargetInfo{
		{ID: "t1", DataCentre: "a", Slots: 2}, {ID: "t2", DataCentre: "b", Slots: 2}, {ID: "t3", DataCentre: "c", Slots: 2},
	}
	homes := map[siskin.TargetID]*lru{}
	runs := map[siskin.TargetID]int{}
	for _, t := range targets {
		homes[t.ID] = &lru{limit: limit}
	}
	for range reads {
		c := choice{
			Targets: targets, Primary: "t1", Customer: siskin.CustomerID(fmt.Sprint(zipf.Uint64())), ConnsScarce: scarce,
			Near: siskin.DataCentreID("abcd"[rng.Intn(4)]), Now: time.Unix(1, 0),
			Seen: func(siskin.TargetID) views.Target { return views.Target{} },
			// Another statement of this VM is at a target now and then.
			Running: func(siskin.TargetID) int { return rng.Intn(8) / 7 },
			Random:  rng.Float64,
		}
		id := c.target()
		homes[id].use(c.Customer)
		runs[id]++
	}
	total := 0
	for _, h := range homes {
		total += h.opened
	}
	return float64(total) / reads, float64(max(runs["t2"], runs["t3"])) / reads
}

// TestScarceConnections guards against reads that open a connection each, where
// customers outnumber the connections of a target: on a calm day of a deployment
// with 76 customers and 35 connections every third statement opened one.
func TestScarceConnections(t *testing.T) {
	before, _ := openedBy(false)
	got, busiest := openedBy(true)
	t.Logf("reads that open a connection: %.3f without a usual replica, %.3f with one; busiest replica %.2f", before, got, busiest)
	if got > before/2 {
		t.Errorf("reads that open a connection: got %.3f, want at most half of %.3f", got, before)
	}
	if busiest > 0.65 {
		t.Errorf("part of the reads at the busiest replica: got %.2f, want at most 0.65", busiest)
	}
}

// TestEvenReplicas guards against VMs in data centres without a target of a
// service that all choose the same replica: in five data centres it got four
// fifths of the reads.
func TestEvenReplicas(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	const reads = 10000
	runs := map[siskin.TargetID]int{}
	for range reads {
		c := choice{
			Targets: []siskin.TargetInfo{{ID: "p", DataCentre: "a", Slots: 3}, {ID: "r1", DataCentre: "b", Slots: 3}, {ID: "r2", DataCentre: "c", Slots: 3}},
			Primary: "p", Near: siskin.DataCentreID("abcde"[rng.Intn(5)]), Now: time.Unix(1, 0),
			Seen:    func(siskin.TargetID) views.Target { return views.Target{} },
			Running: func(siskin.TargetID) int { return 0 }, Random: rng.Float64,
		}
		runs[c.target()]++
	}
	if busiest := float64(max(runs["r1"], runs["r2"])) / reads; busiest > 0.55 {
		t.Errorf("part of the reads at the busiest of two replicas: got %.2f, want at most 0.55", busiest)
	}
}

// TestEvacuatedTargets guards against reads at a target of an evacuated data centre,
// also when it is the only one without a queue.
func TestEvacuatedTargets(t *testing.T) {
	for evacuated, want := range map[string]siskin.TargetID{"": "r1", "a": "r1", "b": "r2", "bc": "p", "ab": "r2", "abc": ""} {
		c := choice{
			Targets: []siskin.TargetInfo{{ID: "p", DataCentre: "a", Slots: 2}, {ID: "r1", DataCentre: "b", Slots: 2}, {ID: "r2", DataCentre: "c", Slots: 2}},
			Primary: "p", Customer: "acme", ConnsScarce: true, Near: "b", Now: time.Unix(10, 0), Random: func() float64 { return 0 },
			Seen: func(siskin.TargetID) views.Target { return views.Target{} },
			Running: func(id siskin.TargetID) int {
				if id == "r1" {
					return 0
				}
				return 3
			},
		}
		for i := range c.Targets {
			c.Targets[i].Evacuated = strings.Contains(evacuated, string(c.Targets[i].DataCentre))
		}
		if got := c.target(); got != want {
			t.Errorf("evacuated %q: got %q, want %q", evacuated, got, want)
		}
	}
}

// TestChoice guards against reads that wait at one target while another is idle.
func TestChoice(t *testing.T) {
	now := time.Unix(10, 0)
	base := choice{
		Targets: []siskin.TargetInfo{{ID: "p", DataCentre: "a", Slots: 2}, {ID: "r1", DataCentre: "b", Slots: 2}, {ID: "r2", DataCentre: "c", Slots: 2}},
		Primary: "p", Customer: "acme", ConnsScarce: true, Near: "d", Now: now, Random: func() float64 { return 0 },
	}
	usual := base.usual()
	other := siskin.TargetID("r1")
	if usual == "r1" {
		other = "r2"
	}
	tests := []struct {
		name     string
		running  map[siskin.TargetID]int
		seen     map[siskin.TargetID]views.Target
		excluded []siskin.TargetID
		want     siskin.TargetID
	}{
		{name: "idle", want: usual},
		{name: "usual one busy", running: map[siskin.TargetID]int{usual: 3}, want: other},
		{name: "queue at the usual one", seen: map[siskin.TargetID]views.Target{usual: {Load: 4, LoadAt: now}}, want: other},
		{name: "old queue at the usual one", seen: map[siskin.TargetID]views.Target{usual: {Load: 9, LoadAt: now.Add(-loadLife)}}, want: usual},
		{name: "usual one failed", seen: map[siskin.TargetID]views.Target{usual: {Failures: 1, FailedAt: now}}, want: other},
		{name: "usual one excluded", excluded: []siskin.TargetID{usual}, want: other},
		{name: "older position at the usual one", seen: map[siskin.TargetID]views.Target{usual: {Position: siskin.Position{Term: 1, LSN: 3}, At: now.Add(-time.Second)}}, want: usual},
		{name: "usual one lagged", seen: map[siskin.TargetID]views.Target{usual: {LaggedAt: now}}, want: other},
		{name: "both lagged", seen: map[siskin.TargetID]views.Target{"r1": {LaggedAt: now}, "r2": {LaggedAt: now}}, want: "p"},
		{name: "usual one lagged long ago", seen: map[siskin.TargetID]views.Target{usual: {LaggedAt: now.Add(-laggedFor)}}, want: usual},
		{name: "replicas busy", running: map[siskin.TargetID]int{"r1": 6, "r2": 6}, want: "p"},
	}
	for _, tt := range tests {
		c := base
		c.Excluded = tt.excluded
		c.Running = func(id siskin.TargetID) int { return tt.running[id] }
		c.Seen = func(id siskin.TargetID) views.Target { return tt.seen[id] }
		if got := c.target(); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}
