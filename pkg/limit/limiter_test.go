package limit

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// localPeers calls the limiters of one process. The map is not locked, since
// it is complete before the first call.
type localPeers map[siskin.VMID]*Limiter

func (d localPeers) Call(_ context.Context, vm siskin.VMID, method string, args, reply any) error {
	if method == "Limit.Report" {
		return d[vm].Receiver().Report(args.(*ReportArgs), reply.(*ReportReply))
	}
	return d[vm].Receiver().Ask(args.(*AskArgs), reply.(*AskReply))
}

// TestLimiterOverRealTime guards against an exchange that misses wake-ups or
// leaks goroutines, and against an AdmitWait that rejects requests while
// another VM has units.
func TestLimiterOverRealTime(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet(1, &config.Customer{ID: "a", Rate: 1000, Burst: 1000}, &config.Customer{ID: "b", Rate: 0.01, Burst: 2})
	peers := make(localPeers)
	for _, id := range []string{"v1", "v2"} {
		n := f.start(id, 1, "d1")
		n.l = New(clockwork.NewRealClock(), f.view, n, peers, f, WithMaxWait(10*time.Second))
		peers[n.vm.ID] = n.l
	}
	first, second := f.vms[0].l, f.vms[1].l
	first.Prepare("a", "b")
	first.readRecords(t.Context()) // in this order, since the fake platform has no lock
	second.Prepare("a", "b")
	second.readRecords(t.Context())
	first.Start()
	second.Start()
	defer first.Close()
	defer second.Close()
	start := time.Now()
	for _, l := range []*Limiter{first, second, first} {
		for i := range 200 {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			if a := l.AdmitWait(ctx, "a", 1); !a.Admitted {
				t.Fatalf("got request %d refused with retry after %v, want it admitted", i, a.RetryAfter)
			}
			cancel()
		}
	}
	if got, want := time.Since(start), 5*time.Second; got > want {
		t.Errorf("got %v for all requests, want at most %v: arriving units must wake waiting requests", got, want)
	}
	start = time.Now()
	for i, want := range []bool{true, true, false} {
		if a := second.AdmitWait(t.Context(), "b", 1); a.Admitted != want || time.Since(start) > 5*time.Second {
			t.Errorf("got %+v after %v for request %d of b, want admitted %v, a rejection before the maximum wait", a, time.Since(start), i, want)
		}
	}
	start = time.Now()
	if a := second.AdmitWait(t.Context(), "unknown", 1); a.Admitted || time.Since(start) > time.Second {
		t.Errorf("got %+v after %v for an unknown customer, want a refusal at once", a, time.Since(start))
	}
	if err := first.Handover(t.Context()); err != nil {
		t.Errorf("got %v from the handover, want nil", err)
	}
	if got, want := second.core.units("a"), siskin.TotalQuotaUnits; got != want {
		t.Errorf("got %d units at the successor, want %d", got, want)
	}
}
