package sysd

import (
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin/platform/stand"
)

// TestCrashDuringRead guards against reads that are refused as not run although
// the primary ran them before it crashed.
func TestCrashDuringRead(t *testing.T) {
	f := startFleet(t, 3).prioritize()
	f.platform.RecordStatements("ledger")
	primary := f.platform.Primary("ledger")
	primary.SetStatementTime(150 * time.Millisecond)
	results := make([]stand.Result, 6)
	var callers sync.WaitGroup
	for i := range results {
		c, err := f.dial(i%3, "orders", testKey)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Conn.Close()
		callers.Go(func() {
			var err error
			if results[i], err = c.Query("READ x"); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	primary.Crash()
	callers.Wait()
	ran := make(map[string]bool)
	for _, r := range f.platform.Records("ledger") {
		ran[r.Request] = true
	}
	for i := range results {
		if r := &results[i]; r.NotRun() && ran[r.Request] {
			t.Errorf("request %s refused with %q: got it run, want it not run", r.Request, r.Text)
		}
	}
}
