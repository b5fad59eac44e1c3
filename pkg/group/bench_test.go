package group

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
)

// BenchmarkConfirm measures a commit that one replica's report confirms.
func BenchmarkConfirm(b *testing.B) {
	set, _ := Settings{AckReplicas: 1, Members: []Member{{ID: "t/1"}, {ID: "t/2"}, {ID: "t/3"}}}.withDefaults()
	t := newTracker(&set)
	now := time.Now()
	b.ReportAllocs()
	for i := range b.N {
		pos := siskin.Position{Term: 1, LSN: siskin.LSN(i + 1)}
		w := t.add(pos, now)
		t.observe(siskin.TargetStatus{ID: "t/2", StreamTerm: 1, ClaimedTerm: 1, Received: pos.LSN})
		if !<-w.result {
			b.Fatal("got an unknown outcome, want a confirmation")
		}
	}
}

// BenchmarkAdmitWrite measures the admission of a write in a healthy group.
func BenchmarkAdmitWrite(b *testing.B) {
	set, _ := Settings{AckReplicas: 1, Members: []Member{{ID: "t/1"}, {ID: "t/2"}, {ID: "t/3"}}}.withDefaults()
	g := &Group{settings: set, tracker: newTracker(&set), clock: clockwork.NewRealClock()}
	g.writeDone = func() { g.writes.Add(-1) }
	g.admission.Store(&admission{primary: "t/1", term: 1})
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		_, _, done, err := g.AdmitWrite(ctx)
		if err != nil {
			b.Fatal(err)
		}
		done()
	}
}
