package lease

import (
	"testing"
	"time"

	"siskintray.example/siskin"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// TestLease guards against a primary that is used with expired evidence, for
// instance by a VM that was suspended, or with evidence of an earlier term.
func TestLease(t *testing.T) {
	l := New()
	if l.Valid("a", at(0)) {
		t.Error("without evidence: got a lease, want none")
	}
	l.Renew("a", 3, at(0))
	l.Renew("a", 3, at(-50)) // a delayed answer
	ttl := int(TTL / time.Millisecond)
	for _, c := range []struct {
		ms   int
		want bool
	}{{0, true}, {ttl - 1, true}, {ttl, false}, {10 * ttl, false}} {
		if got := l.Valid("a", at(c.ms)); got != c.want {
			t.Errorf("lease after %d ms: got %v, want %v", c.ms, got, c.want)
		}
	}
	l.Renew("a", 2, at(ttl))
	if l.Valid("a", at(ttl)) {
		t.Error("evidence of an earlier term: got a lease, want none")
	}
	l.Renew("a", 4, at(ttl))
	if got, want := l.Term("a"), siskin.Term(4); got != want || !l.Valid("a", at(ttl)) {
		t.Errorf("evidence of a later term: got term %d and %v, want %d and a lease", got, l.Valid("a", at(ttl)), want)
	}
	l.Forget("a")
	if l.Valid("a", at(ttl)) || l.Term("a") != 0 {
		t.Error("after Forget: got a lease or a term, want none")
	}
}

// TestPromotionDelay guards against a promotion delay that is shorter than a
// lease on a clock that is 5% slow.
func TestPromotionDelay(t *testing.T) {
	if got, want := PromotionDelay, TTL*21/20; got < want {
		t.Errorf("promotion delay: got %v, want at least %v", got, want)
	}
}

// TestUnclaimed guards against replicas that count as evidence although a
// change has claimed them or they follow another primary.
func TestUnclaimed(t *testing.T) {
	for _, c := range []struct {
		name   string
		status siskin.ControlStatus
		want   bool
	}{
		{"follows the primary", siskin.ControlStatus{Term: 3}, true},
		{"claimed for an earlier term", siskin.ControlStatus{Term: 3, PauseTerm: 2}, true},
		{"claimed", siskin.ControlStatus{Term: 3, PauseTerm: 40}, false},
		{"follows a later primary", siskin.ControlStatus{Term: 4}, false},
		{"follows an earlier primary", siskin.ControlStatus{Term: 2}, false},
		{"is primary itself", siskin.ControlStatus{Term: 3, Primary: true}, false},
	} {
		if got := Unclaimed(c.status, 3); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestExtend guards against a lease that is extended by commits which no lease
// covered: a claimed replica that restarted may have acknowledged them.
func TestExtend(t *testing.T) {
	ttl := int(TTL / time.Millisecond)
	for _, c := range []struct {
		name       string
		term       siskin.Term
		asked, now int
		want       bool
	}{
		{"acknowledged under the lease", 3, ttl / 2, ttl - 1, true},
		{"acknowledged after its end", 3, ttl / 2, ttl, false},
		{"acknowledged in another term", 4, ttl / 2, ttl - 1, false},
	} {
		l := New()
		if l.Extend("a", 3, at(0), at(1)) {
			t.Errorf("%s: without a lease: got an extension, want none", c.name)
		}
		l.Renew("a", 3, at(0))
		if got := l.Extend("a", c.term, at(c.asked), at(c.now)); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
		if got := l.Valid("a", at(ttl+1)); got != c.want {
			t.Errorf("%s: lease after its original expiry: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestTrusted guards against replicas that confirm a primary although they have
// restarted and may have lost a claim.
func TestTrusted(t *testing.T) {
	minUptime := int(MinTrustedUptime / time.Millisecond)
	for _, c := range []struct {
		name           string
		term           siskin.Term
		started, asked int
		want           bool
	}{
		{"ran at the last evidence", 3, -10, 900, true},
		{"started after the last evidence", 3, 10, 900, false},
		{"ran at evidence of another term", 4, -10, 900, false},
		{"has run for long enough", 4, 10, minUptime + 10, true},
		{"has not run for long enough", 4, 10, minUptime + 9, false},
	} {
		l := New()
		l.Renew("a", 3, at(0))
		if got := l.Trusted("a", c.term, at(c.started), at(c.asked), MinTrustedUptime); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
