package group

import (
	"context"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/pgctl"
)

// TestRecheckBeforeClaim guards against a healthy primary that is replaced
// because its open connections stopped responding and the probe on a new one
// was late, as on a VM with more work than processors.
func TestRecheckBeforeClaim(t *testing.T) {
	servers, err := target.StartGroup("ledger", 3, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.CloseAll(servers) })
	s := Settings{Service: "ledger", Self: "vm-1", AckReplicas: 1}
	for _, srv := range servers {
		s.Members = append(s.Members, Member{ID: srv.ID(), Address: srv.Address()})
	}
	g, err := New(s, pgctl.NewDialer(config.Credentials{User: "siskin", Password: "full-secret", Database: "app"}, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, _, done, err := g.AdmitWrite(ctx); err != nil {
		t.Fatal(err)
	} else {
		done()
	}
	claimed := func() siskin.Term {
		st := servers[1].Store().Status(time.Now())
		return st.ClaimedTerm
	}
	before := claimed()
	c := action{kind: actClaim, target: servers[1].ID(), attempt: 1, term: before + 1, unresponsive: g.View().Primary}
	g.peers[1].claim(c)
	if got := claimed(); got != before {
		t.Errorf("claimed term of a replica while the primary answers: got %d, want %d", got, before)
	}
	servers[0].SilenceOpen()
	g.peers[1].claim(c)
	if got := claimed(); got != before {
		t.Errorf("claimed term while only the primary's open connections are unresponsive: got %d, want %d", got, before)
	}
	servers[0].Close()
	c.unresponsive = servers[0].ID()
	g.peers[1].claim(c)
	if got := claimed(); got < c.term {
		t.Errorf("claimed term after the end of the primary: got %d, want at least %d", got, c.term)
	}
}
