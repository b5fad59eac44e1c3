package limit

import (
	"testing"
	"time"
)

// countRefusals sends requests that cannot be admitted and returns how many of
// them count as within the rate.
func countRefusals(t *testing.T, c *core, now time.Duration, n int) (counted int) {
	t.Helper()
	for range n {
		if c.admit(now, "a", 1, true).Admitted {
			t.Fatal("got a request admitted, want none at a VM without units")
		}
		if c.withinRate(now, "a", 1) {
			counted++
		}
	}
	return counted
}

// TestRefusalsCountWhileHolderIsUnresponsive guards against rejected requests
// that are within the rate but do not count as such while the VM with the units
// does not answer, and against requests above the rate that count as within it.
func TestRefusalsCountWhileHolderIsUnresponsive(t *testing.T) {
	donor, requester, i := pair(t)
	now := time.Second
	// The rate is 100 a second with a burst of 100.
	for _, tt := range []struct {
		pause    time.Duration
		requests int
		want     int
	}{{0, 150, 100}, {500 * time.Millisecond, 80, 50}, {100 * time.Millisecond, 7, 7}, {10 * time.Second, 300, 100}} {
		now += tt.pause
		if got := countRefusals(t, requester, now, tt.requests); got != tt.want {
			t.Errorf("%d requests after %v: got %d counted as within the rate, want %d", tt.requests, tt.pause, got, tt.want)
		}
		requester.plan(now) // the message is lost
	}
	// The holder answers again and has no spare units, so the customer uses its
	// whole rate.
	now += 10 * time.Second
	exchange(requester, donor, now)
	h := requester.bucket(i).holdings.get("a")
	h.take(h.units)
	if got := countRefusals(t, requester, now, 20); got != 0 {
		t.Errorf("all holders answer: got %d counted as within the rate, want 0", got)
	}
	// The holder becomes unresponsive while this VM asks again.
	for range unresponsiveAttempts + 1 {
		now += maxBackoff
		requester.plan(now)
		countRefusals(t, requester, now, 1)
	}
	now += time.Second
	requester.plan(now)
	countRefusals(t, requester, now, 150) // uses up the burst
	now += 500 * time.Millisecond
	if got := countRefusals(t, requester, now, 80); got != 50 {
		t.Errorf("unresponsive again: got %d counted as within the rate, want 50", got)
	}
}

// exchange delivers the requests for units and their replies.
func exchange(from, to *core, now time.Duration) {
	for _, m := range from.plan(now) {
		reply := to.handleAsk(now, m.args)
		from.handleReply(now, to.self.VM, m.args.Seq, &reply)
	}
}

// TestOwnTrafficAboveRate guards against rejected requests that count as
// within the rate although the requests at one VM alone exceed it.
func TestOwnTrafficAboveRate(t *testing.T) {
	donor, _, _ := pair(t)
	now, admitted, counted := time.Second, 0, 0
	for range 1000 {
		if donor.admit(now, "a", 1, true).Admitted {
			admitted++
		} else if donor.withinRate(now, "a", 1) {
			counted++
		}
	}
	if admitted != 100 || counted != 0 {
		t.Errorf("got %d admitted and %d counted as within the rate, want 100 and 0", admitted, counted)
	}
	if got, want := donor.withinRate(now, "unknown", 1), true; got != want {
		t.Errorf("customer that is not known here yet: got %v, want %v", got, want)
	}
}

// TestCustomerFarAboveRateAtUnresponsiveHolders guards against partitioned VMs
// that each count rejected requests up to the whole rate of a customer that
// sends several times its rate.
func TestCustomerFarAboveRateAtUnresponsiveHolders(t *testing.T) {
	donor, requester, i := pair(t)
	now := time.Second
	for _, tt := range []struct {
		others float64 // demand at the other holder before it becomes unresponsive
		want   int     // counted in 2 s of 200 requests a second here; at most 2 s of the rate plus the burst
	}{{0, 300}, {100, 200}, {800, 60}} {
		now += time.Hour
		donor.bucket(i).holding(now, "a", donor.view).demand = meter{slow: tt.others, fast: tt.others, updatedAt: now}
		countRefusals(t, requester, now, 1)
		exchange(requester, donor, now)
		h := requester.bucket(i).holdings.get("a")
		h.take(h.units)
		h.reference = referenceBucket{}
		counted := 0
		for end := now + 2*time.Second; now < end; now += 5 * time.Millisecond {
			h.holderUnresponsive, h.demand = true, meter{slow: 200, fast: 200, updatedAt: now}
			counted += countRefusals(t, requester, now, 1)
		}
		if counted < tt.want-5 || counted > tt.want+5 {
			t.Errorf("%v requests/s elsewhere: got %d counted as within the rate, want %d", tt.others, counted, tt.want)
		}
	}
}
