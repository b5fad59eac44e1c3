package limit

import (
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// TestGrantBeforeFirstRequest guards against a grant for a customer that this
// VM has not served yet: its requests were rejected until the next change of
// the configuration, although the VM held units.
func TestGrantBeforeFirstRequest(t *testing.T) {
	f := newFleet(1, &config.Customer{ID: "a", Rate: 100, Burst: 100})
	c := f.start("v1", 1, "d1").l.core
	c.apply(0, bucketOf("a"), &record{
		Epoch: 2, Holders: []holderID{c.self},
		Grants: []grant{{To: c.self, Customers: map[siskin.CustomerID]siskin.QuotaUnits{"a": siskin.TotalQuotaUnits}}},
	})
	c.admit(time.Second, "a", 1, true)
	if got, want := c.admit(2*time.Second, "a", 1, true).Admitted, true; got != want {
		t.Errorf("admitted: got %v, want %v a second after the first request", got, want)
	}
}

// TestTokensWithoutUnits guards against a small customer whose requests are
// rejected at one VM while others have its tokens and no spare units.
func TestTokensWithoutUnits(t *testing.T) {
	donor, requester, i := pair(t)
	ask(t, requester) // creates the holding, like the next line
	donor.admit(0, "a", 1, true)
	const now = time.Second
	h, empty := donor.bucket(i).holdings.get("a"), requester.bucket(i).holdings.get("a")
	h.units, h.tokens, h.updatedAt = siskin.TotalQuotaUnits/2, 50, now
	empty.units, empty.tokens, empty.updatedAt = siskin.TotalQuotaUnits/2, 0, now
	h.demand = meter{slow: 80, fast: 80, updatedAt: now} // leaves no spare units
	requester.links[donor.self.VM].pending = nil
	requester.admit(now, "a", 1, true)
	before := h.tokens + empty.tokens
	out := requester.plan(now)
	if len(out) != 1 {
		t.Fatalf("got %d messages, want 1", len(out))
	}
	reply := donor.handleAsk(now, out[0].args)
	if got := reply.Items[0]; got.Units != 0 || got.Tokens < 1 {
		t.Fatalf("reply: got %d units and %v tokens, want 0 and at least 1", got.Units, got.Tokens)
	}
	requester.handleReply(now, donor.self.VM, out[0].args.Seq, &reply)
	if got := h.tokens + empty.tokens; got > before {
		t.Errorf("tokens at both: got %v, want at most %v", got, before)
	}
	if !requester.admit(now, "a", 1, false).Admitted {
		t.Error("admitted: got false after tokens arrived, want true")
	}
}

// TestFirstRequestWaitsForRecord guards against first requests within the rate
// that are rejected because the VM has not read the record of their bucket
// yet, and against a wait while the platform is down.
func TestFirstRequestWaitsForRecord(t *testing.T) {
	f := newFleet(1, &config.Customer{ID: "a", Rate: 100, Burst: 100})
	c := f.start("v1", 1, "d1").l.core
	c.admit(0, "a", 1, true)
	if _, _, got := c.startWait(0, "a", 1, maxJoinWait); !got {
		t.Error("wait before the record is read: got false, want true")
	}
	c.setUnreadable(bucketOf("a"), true)
	if _, _, got := c.startWait(0, "a", 1, maxJoinWait); got {
		t.Error("wait while the platform does not answer: got true, want false")
	}
}
