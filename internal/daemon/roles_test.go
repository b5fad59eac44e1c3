package daemon

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/limit"
	"siskintray.example/siskin/pkg/member"
)

// TestRolesAfterPause guards against a VM that acts as a watcher of the
// configuration or transfers quota units after a pause before it has heard from
// its peers.
func TestRolesAfterPause(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := member.New(member.Config{Self: siskin.VM{ID: "vm-1", PeerAddress: "127.0.0.1:1"}}, nil, member.WithClock(clock))
	view := &awakeMembers{m}
	if got := len(view.Live()); got != 1 {
		t.Errorf("live VMs before the pause: got %d, want 1", got)
	}
	clock.Advance(10 * time.Second)
	if got := len(view.Live()); got != 0 {
		t.Errorf("live VMs after the pause: got %d, want 0", got)
	}
	r := &limitReceiver{awake: m.MayUseRoles}
	if err := r.Ask(&limit.AskArgs{}, &limit.AskReply{}); siskin.KindOf(err) != siskin.Unavailable {
		t.Errorf("request for units after the pause: got %v, want kind Unavailable", err)
	}
}
