package path

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/logs"
)

// failingPeers fails each call with the same error.
type failingPeers struct{ err error }

func (p failingPeers) Call(context.Context, siskin.VMID, string, any, any) error { return p.err }

// TestAnsweringHomeIsNotLost guards against a VM that counts as lost, so that its
// targets get other homes, because it answered with an error: it was busy, or runs
// another version.
func TestAnsweringHomeIsNotLost(t *testing.T) {
	for _, c := range []struct {
		kind siskin.ErrorKind
		live bool
	}{
		{siskin.Internal, true}, {siskin.BadInput, true}, {siskin.Overloaded, true}, {siskin.TooLarge, true}, {siskin.Unavailable, false},
	} {
		p, targets := newPath(t)
		p.cfg.Log, p.cfg.Peers = logs.New("error", "json", io.Discard), failingPeers{siskin.NewError(c.kind, "an error of the test")}
		first, ok := p.Home(targets[0])
		if !ok || first == p.cfg.Crew.Self().ID {
			t.Fatalf("home of the target: got %q, want another VM", first)
		}
		got := p.Run(context.Background(), &home.Request{Target: targets[0].ID, Timeout: time.Second})
		if got.Outcome != home.AnswerLost {
			t.Errorf("error of kind %v: got %+v, want an unknown outcome", c.kind, got)
		}
		live := slices.ContainsFunc(p.cfg.Crew.Live(), func(vm siskin.VM) bool { return vm.ID == first })
		if live != c.live {
			t.Errorf("home after an error of kind %v: got live %t, want %t", c.kind, live, c.live)
		}
	}
}
