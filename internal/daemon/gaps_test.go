package daemon

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/front"
	"siskintray.example/siskin/internal/stats"
	"siskintray.example/siskin/pkg/burn"
	"siskintray.example/siskin/pkg/config"
)

// injectedTransaction is a write transaction that ends after a pause.
type injectedTransaction struct {
	pause   time.Duration
	failed  siskin.ErrorKind // 0 (Internal) when it did not fail
	term    siskin.Term
	latency time.Duration
	within  bool
	gap     time.Duration // that it ends, zero for none
}

const ms = time.Millisecond

var transactions = []injectedTransaction{
	// Failures before the first acknowledged write end no gap.
	{pause: 0, failed: siskin.NotRun, latency: ms},
	{pause: 10 * ms, term: 1, latency: ms},
	// A failover under load: writes fail, or wait and succeed in a later term.
	{pause: 10 * ms, term: 1, latency: ms},
	{pause: 300 * ms, failed: siskin.OutcomeUnknown, latency: 295 * ms},
	{pause: 100 * ms, failed: siskin.NotRun, latency: 50 * ms},
	{pause: 500 * ms, term: 2, latency: 800 * ms, gap: 900 * ms},
	{pause: 10 * ms, term: 2, latency: 900 * ms},
	// A write that began before the failover fails at its deadline.
	{pause: 4 * time.Second, failed: siskin.OutcomeUnknown, latency: 5 * time.Second},
	{pause: 500 * ms, term: 2, latency: ms},
	// A failover in which every write waited and none failed.
	{pause: 700 * ms, term: 3, latency: 690 * ms, gap: 700 * ms},
	// One write fails between two others: no interruption.
	{pause: 50 * ms, failed: siskin.NotRun, latency: 10 * ms},
	{pause: 50 * ms, term: 3, latency: ms},
	// The same primary takes no writes for 2.5 s.
	{pause: time.Second, failed: siskin.NotRun, latency: 100 * ms},
	{pause: 1500 * ms, term: 3, latency: 20 * ms, gap: 2500 * ms},
	// No writes for an hour; the first write after it fails.
	{pause: time.Hour, failed: siskin.Unavailable, latency: 30 * ms},
	{pause: 400 * ms, term: 3, latency: ms, gap: 430 * ms},
	// No writes during a planned change of the primary.
	{pause: time.Hour, term: 4, latency: 5 * ms, gap: 5 * ms},
	// Refusals because of the customer's rate or a full queue: no interruption.
	{pause: time.Second, failed: siskin.RateExceeded, latency: ms},
	{pause: time.Second, failed: siskin.RateExceeded, latency: ms, within: true},
	{pause: time.Second, failed: siskin.Overloaded, latency: ms},
	{pause: time.Second, term: 4, latency: ms},
	// Two writes of the former primary are confirmed at the end of its replacement.
	{pause: 800 * ms, term: 4, latency: 790 * ms},
	{pause: 5 * ms, term: 4, latency: 780 * ms},
	{pause: 10 * ms, term: 5, latency: 15 * ms, gap: 815 * ms},
	{pause: 10 * ms, term: 5, latency: ms},
	// After 1.2 s of a failover a write that has just begun ends first, together
	// with those that waited.
	{pause: 1200 * ms, term: 6, latency: 10 * ms, gap: 1200 * ms},
	{pause: 0, term: 6, latency: 700 * ms},
	{pause: 0, term: 6, latency: 200 * ms},
	{pause: ms, term: 6, latency: ms},
	// A transaction without an acknowledged write ends no gap.
	{pause: time.Second, failed: siskin.NotRun, latency: ms},
	{pause: time.Second, latency: ms},
	{pause: time.Second, term: 6, latency: ms, gap: 3 * time.Second},
}

// TestBurnCountsInjectedFailures guards against a burn record that misses write
// gaps or refusals within the rate, or that has a gap for a failure without an
// interruption.
func TestBurnCountsInjectedFailures(t *testing.T) {
	clock := clockwork.NewFakeClock()
	recorder := burn.New(clock, siskin.VM{ID: "vm-1"})
	st := stats.New()
	defer st.Close()
	o := &observer{recorder: recorder, gaps: newWriteGaps(clock, recorder), stats: newTransactionStats(st)}
	var want []time.Duration
	bad, done := int64(0), int64(0)
	for _, f := range transactions {
		clock.Advance(f.pause)
		write := front.Observation{
			Service: "ledger", Customer: "shop", Mode: config.WriteRoute, Term: f.term, Latency: f.latency,
			Failed: f.failed != 0, Kind: f.failed, WithinRate: f.within,
		}
		o.ObserveTransaction(write)
		// A read ends between any two writes and must not affect gaps.
		o.ObserveTransaction(front.Observation{Service: "ledger", Customer: "shop", Mode: config.ReadRoute, Latency: ms})
		done++
		switch {
		case f.failed == 0:
			done++
		case f.failed != siskin.RateExceeded || f.within:
			bad++
		}
		if f.gap > 0 {
			want = append(want, f.gap)
		}
	}
	for _, s := range recorder.Record().Series {
		counts := s.Windows[len(s.Windows)-1]
		if counts.Bad() != bad || counts.Done != done || counts.WithinRate != 1 {
			t.Errorf("%s %s: got %d bad, %d done, %d within rate, want %d, %d, 1", s.Dimension, s.Name, counts.Bad(), counts.Done, counts.WithinRate, bad, done)
		}
		var got []time.Duration
		for _, g := range s.Gaps {
			got = append(got, g.Duration)
		}
		if s.Dimension == burn.ServiceDimension && !slices.Equal(got, want) {
			t.Errorf("got gaps %v, want %v", got, want)
		}
	}
}

// TestGapWithLateConfirmation guards against recording a failover as a gap of a
// few milliseconds because a write of the former primary was confirmed at the
// end of the failover.
func TestGapWithLateConfirmation(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var s serviceWrites
	s.noteAck(at(0), at(-10), 1)
	if gap, ok := s.noteAck(at(800), at(5), 1); ok {
		t.Errorf("late confirmation in the same term: got a gap of %v, want none yet", gap)
	}
	if gap, ok := s.noteAck(at(821), at(300), 2); !ok || gap != 821*time.Millisecond {
		t.Errorf("first write of the next term: got %v, %v, want a gap of 821ms", gap, ok)
	}
	s.noteAck(at(900), at(890), 2)
	s.noteAck(at(1200), at(910), 2) // a slow write
	s.noteAck(at(1210), at(1200), 2)
	if gap, ok := s.noteAck(at(1300), at(1290), 3); !ok || gap != 90*time.Millisecond {
		t.Errorf("next change after a slow write: got %v, %v, want a gap of 90ms", gap, ok)
	}
}
