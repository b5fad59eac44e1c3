package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/pkg/config"
)

var start = time.Unix(1_000_000, 0)

// TestAddedLoadAndSingleRun guards against retries that add more than 10% load
// when every target of a service fails, and against a second run of a request
// that may not be repeated.
func TestAddedLoadAndSingleRun(t *testing.T) { addedLoadAndSingleRun(t) }

// TestSoak repeats the run of TestAddedLoadAndSingleRun with growing seeds.
func TestSoak(t *testing.T) { soak.Rapid(t, addedLoadAndSingleRun) }

func addedLoadAndSingleRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rnd := rand.New(rand.NewPCG(seed, 1))
		budgets := NewBudgets()
		backoff := Backoff{Base: 5 * time.Millisecond, Max: time.Second}
		customers := []siskin.CustomerID{"a", "b", "c"}
		first, retries := 0, 0
		for range rapid.IntRange(1, 2000).Draw(rt, "requests") {
			a := Attempt{
				Mode: config.WriteRoute, Repeatable: rnd.IntN(2) == 0, Replayable: rnd.IntN(8) > 0,
				Now: start, Deadline: start.Add(time.Duration(rnd.IntN(2000)) * time.Millisecond),
			}
			if rnd.IntN(2) == 0 {
				a.Mode = config.ReadRoute
			}
			customer := customers[rnd.IntN(len(customers))]
			budgets.Deposit(customer, "badges")
			first++
			runs := 0
			for n := 1; ; n++ {
				a.Outcome = Outcome(rnd.IntN(int(Refused) + 1))
				a.Answered = rnd.IntN(4) == 0
				if !a.Outcome.NotRun() {
					runs++ // an attempt with an unknown outcome may have run
				}
				if runs > 1 && (a.Mode == config.WriteRoute || !a.Repeatable) {
					rt.Fatalf("seed %d: got %d runs of a request that may not be repeated, want at most 1", seed, runs)
				}
				a.Delay = backoff.Delay(n, rnd.Int64N)
				verdict := Decide(a)
				if verdict == RefuseNotRun && !a.Outcome.NotRun() {
					rt.Fatalf("seed %d: got RefuseNotRun for an attempt that may have run", seed)
				}
				if verdict != Retry || !budgets.Withdraw(customer, "badges") {
					break
				}
				retries++
				a.Now = a.Now.Add(a.Delay)
				if !a.Now.Before(a.Deadline) {
					rt.Fatalf("seed %d: retried after the deadline", seed)
				}
			}
		}
		if got, want := retries, first/10; got > want {
			rt.Fatalf("seed %d: got %d retries for %d requests, want at most %d", seed, got, first, want)
		}
	})
}

// TestAnsweredIsNeverRepeated guards against a caller that receives parts of two
// responses.
func TestAnsweredIsNeverRepeated(t *testing.T) {
	a := Attempt{Outcome: Unsent, Mode: config.ReadRoute, Repeatable: true, Replayable: true, Now: start, Deadline: start.Add(time.Second)}
	if got, want := Decide(a), Retry; got != want {
		t.Fatalf("before the first byte: got %v, want %v", got, want)
	}
	a.Answered = true
	if got, want := Decide(a), RefuseNotRun; got != want {
		t.Fatalf("after the first byte: got %v, want %v", got, want)
	}
}

// TestBackoffBounds guards against delays above the maximum.
func TestBackoffBounds(t *testing.T) {
	b := Backoff{Base: 10 * time.Millisecond, Max: 80 * time.Millisecond}
	top := func(n int64) int64 { return n - 1 }
	for attempt, want := range []time.Duration{10, 10, 20, 40, 80, 80, 80} {
		if got := b.Delay(attempt, top); got != want*time.Millisecond {
			t.Errorf("attempt %d: got %v, want %v", attempt, got, want*time.Millisecond)
		}
	}
}
