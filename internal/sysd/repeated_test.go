package sysd

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/platform/stand"
)

// repeatedSpan is how long callers send statements to targets that repeat
// answers.
const repeatedSpan = 2500 * time.Millisecond

// repeatedCall is one statement of a caller and what it was told.
type repeatedCall struct {
	text   string
	result stand.Result
}

// repeatedCaller sends statements to one VM and keeps the answers.
type repeatedCaller struct {
	f     *testFleet
	n     int
	c     *stand.Client
	calls []repeatedCall
}

// query sends a statement. The result is false if it did not succeed. A session
// that broke or that is in a transaction afterwards is closed.
func (r *repeatedCaller) query(text string) bool {
	if r.c == nil {
		c, err := r.f.dial(r.n%2, "orders", testKey)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			return false
		}
		r.c = c
	}
	res, err := r.c.Query(text)
	if err != nil || res.State == "E" {
		r.c.Conn.Close()
		r.c = nil
	}
	if err != nil {
		return false
	}
	r.calls = append(r.calls, repeatedCall{text, res})
	return res.Code == ""
}

// runRepeated lets callers send statements until repeatedSpan has passed, and
// returns their calls and what the targets ran, by request.
func runRepeated(t *testing.T, o stand.AnswerOptions, step func(r *repeatedCaller, i int)) ([]repeatedCall, map[string][]stand.Record) {
	f := startFleet(t, 2)
	f.platform.RecordStatements("ledger")
	seed := int64(soak.Seed(1))
	for i, target := range f.platform.Targets("ledger") {
		o.Seed = seed*100 + int64(i)
		target.SetAnswers(o)
	}
	var all sync.WaitGroup
	callers := make([]*repeatedCaller, 8)
	end := time.Now().Add(repeatedSpan)
	for n := range callers {
		r := &repeatedCaller{f: f, n: n}
		callers[n] = r
		all.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				step(r, i)
			}
			if r.c != nil {
				r.c.Conn.Close()
			}
		})
	}
	all.Wait()
	repeated := int64(0)
	for _, target := range f.platform.Targets("ledger") {
		repeated += target.Repeated()
		target.SetAnswers(stand.AnswerOptions{})
	}
	if repeated == 0 {
		t.Error("got no answer sent twice")
	}
	ran := make(map[string][]stand.Record)
	for _, r := range f.platform.Records("ledger") {
		ran[r.Request] = append(ran[r.Request], r)
	}
	var calls []repeatedCall
	for _, r := range callers {
		calls = append(calls, r.calls...)
	}
	t.Logf("seed %d: %d answers sent twice, %d calls", seed, repeated, len(calls))
	return calls, ran
}

// checkOwnAnswers reports successes of statements without the signature and the
// rows that the target gave for just this statement.
func checkOwnAnswers(t *testing.T, word string, calls []repeatedCall, ran map[string][]stand.Record) {
	t.Helper()
	successes, unsigned, foreign, reported := 0, 0, 0, 0
	for _, c := range calls {
		if c.result.Code != "" || len(c.text) < len(word) || c.text[:len(word)] != word {
			continue
		}
		successes++
		// A read may run again when the answer to its first run is lost.
		own := slices.ContainsFunc(ran[c.result.Request], func(r stand.Record) bool {
			return r.Signature == c.result.Signature && slices.Equal(r.Rows, c.result.Rows)
		})
		switch {
		case own:
			continue
		case c.result.Signature == "-":
			unsigned++
		default:
			foreign++
		}
		if reported++; reported <= 3 {
			t.Errorf("%s with id %s: got signature %q and rows %q, want those of one of %+v",
				c.text, c.result.Request, c.result.Signature, c.result.Rows, ran[c.result.Request])
		}
	}
	t.Logf("%s: %d successes, %d of them without a signature, %d with the answer to another statement", word, successes, unsigned, foreign)
	if successes < 100 {
		t.Errorf("successes of %s: got %d, want at least 100", word, successes)
	}
}

// TestRepeatedAnswers guards against answers that go to another statement after a
// target has sent one twice. SISKIN_SEED repeats a run.
func TestRepeatedAnswers(t *testing.T) {
	twice := stand.AnswerOptions{RepeatShare: 0.05, RepeatDelay: 40 * time.Millisecond}
	t.Run("Read", func(t *testing.T) {
		calls, ran := runRepeated(t, twice, func(r *repeatedCaller, i int) { r.query(fmt.Sprintf("READ r-%d-%d", r.n, i)) })
		checkOwnAnswers(t, "READ", calls, ran)
	})
	t.Run("Write", func(t *testing.T) {
		calls, ran := runRepeated(t, twice, func(r *repeatedCaller, i int) { r.query(fmt.Sprintf("WRITE w-%d %d", r.n, i)) })
		checkOwnAnswers(t, "WRITE", calls, ran)
	})
	t.Run("Commit", func(t *testing.T) {
		calls, ran := runRepeated(t, twice, func(r *repeatedCaller, i int) {
			if r.query("BEGIN") && r.query(fmt.Sprintf("WRITE c-%d %d", r.n, i)) {
				r.query("COMMIT")
			} else if r.c != nil {
				r.query("ROLLBACK")
			}
		})
		checkOwnAnswers(t, "COMMIT", calls, ran)
	})
}

// TestRepeatedRefusal guards against a refusal that is sent twice and read as the
// promise that a later write has not run. SISKIN_SEED repeats a run.
func TestRepeatedRefusal(t *testing.T) {
	o := stand.AnswerOptions{RepeatShare: 0.05, RepeatDelay: 40 * time.Millisecond, BusyShare: 0.3}
	calls, ran := runRepeated(t, o, func(r *repeatedCaller, i int) { r.query(fmt.Sprintf("WRITE w-%d %d", r.n, i)) })
	refused, broken := 0, 0
	for _, c := range calls {
		if !c.result.NotApplied() {
			continue
		}
		refused++
		for _, r := range ran[c.result.Request] {
			if !r.Kept {
				continue
			}
			if broken++; broken <= 3 {
				t.Errorf("%s with id %s, answered %s: got it kept at %v, want it not run", c.text, c.result.Request, c.result.Code, r.Position)
			}
		}
	}
	t.Logf("%d writes refused, %d of them kept", refused, broken)
	if refused < 20 {
		t.Errorf("refused writes: got %d, want at least 20", refused)
	}
}
