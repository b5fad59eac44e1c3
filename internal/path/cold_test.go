package path

import (
	"context"
	"net"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/platform"
	"siskintray.example/siskin/platform/stand"
)

// secondHome simulates peers: calls to the VM home fail because it cannot reach
// the target, and calls to other VMs are run by next.
type secondHome struct {
	home siskin.VMID
	next *Receiver
}

func (s *secondHome) Call(_ context.Context, vm siskin.VMID, _ string, args, reply any) error {
	if vm == s.home {
		*reply.(*home.Reply) = home.Reply{Cause: home.Unreachable}
		return nil
	}
	return s.next.Run(args.(*home.Request), reply.(*home.Reply))
}

// TestColdAtSecondHome guards against a flood of statements at a restarted
// target. Its home could not reach it while it was down. The VM that is tried
// next had no connection to it, so it has seen no failure and would treat the
// target as warm.
func TestColdAtSecondHome(t *testing.T) {
	s, err := stand.Start(stand.ServiceOptions{Name: "ledger", Zones: []string{"b"}, Slots: 2, MaxConnections: 16})
	if err != nil {
		t.Fatal(err)
	}
	target := s.Targets("ledger")[0]
	info := siskin.TargetInfo{ID: target.ID(), Service: "ledger", DataCentre: "b", Address: target.Address(), Slots: 2, Primary: true}
	p, _ := newPath(t)
	p.cfg.Roster.Replace([]siskin.TargetInfo{info}, 2, time.Unix(2, 0))
	h := home.New(home.Config{
		Clock: boot.Clock{}, Views: views.New(), Connector: &platform.Connector{Dial: (&net.Dialer{}).DialContext},
		Target: p.cfg.Roster.Target, Limit: func(siskin.TargetInfo) int { return 2 }, IsHome: func(siskin.TargetInfo) bool { return false },
		MayBeCold: func(_ siskin.TargetInfo, _, failed time.Time) bool { return !failed.IsZero() },
		AdmitCold: func(context.Context, siskin.ServiceName) siskin.Admission {
			return siskin.Admission{RetryAfter: time.Second}
		},
	})
	t.Cleanup(func() {
		if err := h.Close(); err != nil {
			t.Error(err)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	first, ok := p.Home(info)
	if !ok || first == p.cfg.Crew.Self().ID {
		t.Fatalf("home of the target: got %q, want another VM", first)
	}
	p.cfg.Peers = &secondHome{first, &Receiver{homes: h}}
	got := p.Run(context.Background(), &home.Request{
		Statement: siskin.Statement{ID: "1", Kind: siskin.Read, Text: "x"}, Service: "ledger", Target: info.ID, Customer: "acme",
		Timeout: time.Second, QueueTimeout: time.Second, AcquireTimeout: 20 * time.Millisecond,
	})
	if got.Home == first || got.Outcome != home.NotSent || got.Cause != home.Overload {
		t.Errorf("read at a target that its home could not reach: got %+v, want a refusal by the second VM for the rate of cold targets", got)
	}
	if n := target.Statements(); n != 0 {
		t.Errorf("statements at a target that its home could not reach: got %d, want none", n)
	}
}
