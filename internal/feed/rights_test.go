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
	"siskintray.example/siskin/internal/quota"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
)

// newRightsFeed returns a feed that does not poll, of a VM that knows no share
// holders.
func newRightsFeed(t *testing.T, s siskin.Store) *Feed {
	t.Helper()
	targets, tab, l := roster.New(), table.New(), logs.New("error", "json", io.Discard)
	c := crew.New(crew.Config{Clock: boot.Clock{}, Self: crew.Node{ID: "vm"}, Table: tab, Roster: targets, Log: l})
	return &Feed{cfg: Config{
		Clock: boot.Clock{}, Store: s, Log: l, Table: tab, Roster: targets, Crew: c,
		Rights: quota.New(quota.Config{Clock: boot.Clock{}, Table: tab, Members: c, Log: l}),
	}}
}

// TestRefusedRecordIsRetriedWithPauses guards against a loop of store calls
// without a pause while the store refuses the record of share holders.
func TestRefusedRecordIsRetriedWithPauses(t *testing.T) {
	s := &fakeStore{createErr: siskin.NewError(siskin.Overloaded, "too many calls")}
	f := newRightsFeed(t, s)
	const interval = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), rightsPeerWait+interval)
	defer cancel()
	f.loadRights(ctx)
	if got, want := s.creations, int(interval/rightsReadInterval)+1; got < 1 || got > want {
		t.Errorf("attempts to create the record within %v: got %d, want 1 to %d", interval, got, want)
	}
}
