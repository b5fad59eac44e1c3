package group_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/group"
)

// TestResume guards against a VM that, after a pause, claims targets before it
// may use its roles, or admits writes or reports staleness because of answers
// from before the pause.
func TestResume(t *testing.T) {
	servers := startTargets(t, 3, nil)
	var awake atomic.Bool
	awake.Store(true)
	g := startGroup(t, servers, "vm-1", group.WithAwake(awake.Load))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := write(ctx, g, servers, "before"); err != nil {
		t.Fatal(err)
	}
	awake.Store(false)
	servers[0].Close()
	time.Sleep(2 * time.Second)
	if got := g.View().Term; got != 1 {
		t.Errorf("term while the VM resumes: got %d, want 1", got)
	}
	for _, s := range servers[1:] {
		if st := s.Store().Status(time.Now()); st.ClaimedTerm > 1 {
			t.Errorf("target %s: got a claim of term %d while the VM resumes, want none", s.ID(), st.ClaimedTerm)
		}
	}
	if err := g.Promote(ctx, servers[1].ID(), false); siskin.KindOf(err) != siskin.Unavailable {
		t.Errorf("planned change while the VM resumes: got %v, want kind Unavailable", err)
	}
	g.Resume()
	view := g.View()
	for _, tv := range view.Targets {
		if tv.Reachable || tv.Staleness >= 0 {
			t.Errorf("target %s after the pause: got reachable %v, age %v; want unreachable, unknown", tv.Status.ID, tv.Reachable, tv.Staleness)
		}
	}
	awake.Store(true)
	begun := time.Now()
	if _, err := write(ctx, g, servers, "after"); err != nil {
		t.Fatal(err)
	}
	t.Logf("first write %v after the pause, term %d", time.Since(begun), g.View().Term)
}
