package feed

import (
	"context"
	"io"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
)

// newHoldersFeed returns a feed that does not poll and whose VM knows the given
// share holders.
func newHoldersFeed(t *testing.T, s siskin.Store, known []siskin.VMID) *Feed {
	t.Helper()
	targets, tab, l := roster.New(), table.New(), logs.New("error", "json", io.Discard)
	return &Feed{cfg: Config{
		Clock: boot.Clock{}, Store: s, Log: l, Table: tab, Roster: targets,
		Crew:      crew.New(crew.Config{Clock: boot.Clock{}, Self: crew.Node{ID: "vm"}, Table: tab, Roster: targets, Log: l}),
		OnHolders: func([]siskin.VMID) {}, KnownHolders: func() []siskin.VMID { return known },
	}}
}

// TestRefusedRecordIsRetriedWithPauses guards against a loop of store calls
// without a pause while the store refuses the record of share holders.
func TestRefusedRecordIsRetriedWithPauses(t *testing.T) {
	s := &fakeStore{createErr: siskin.NewError(siskin.Overloaded, "too many calls")}
	f := newHoldersFeed(t, s, nil)
	const interval = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), holdersPeerWait+interval)
	defer cancel()
	f.loadHolders(ctx)
	if got, want := s.creations, int(interval/holdersReadInterval)+1; got < 1 || got > want {
		t.Errorf("attempts to create the record within %v: got %d, want 1 to %d", interval, got, want)
	}
}
