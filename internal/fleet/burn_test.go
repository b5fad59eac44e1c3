package fleet

import (
	"context"
	"testing"
	"time"

	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/pkg/burn"
)

// TestFailoverInBurnRecord guards against a failover that the burn record of a
// VM misses, counts twice or shows with another length than callers saw.
func TestFailoverInBurnRecord(t *testing.T) {
	const seed, length, fault = 1, 6 * time.Second, 2 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := Start(ctx, load.Syntyma())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	service := f.Profile.Services[0]
	run := load.NewRun(f.Callers(seed, service, 0.2, 0.5), length)
	timer := time.AfterFunc(fault, func() { f.Groups[service][0].SetPaused(true) })
	defer timer.Stop()
	run.Do(ctx)
	want, ok := load.WriteGap(run.Recorder.Events(), fault)
	if !ok {
		t.Fatal("got no acknowledged write after the fault, want some")
	}
	var record burn.Record
	if err := admin.NewClient(f.VMs[0].AdminAddress(), nil).Get(ctx, "/burn/record?Fleet=yes", &record); err != nil {
		t.Fatal(err)
	}
	if len(record.Series) == 0 || record.Series[0].Name != string(service) {
		t.Fatalf("got %d series, want that of %s first", len(record.Series), service)
	}
	t.Logf("seed %d: write gap of the callers %v, VMs in the record %d", seed, want, len(record.VMs))
	gaps := record.Series[0].Gaps
	if got, want := len(gaps), len(f.VMs); got != want {
		t.Errorf("got %d gaps, want one at each of %d VMs", got, want)
	}
	for _, g := range gaps {
		t.Logf("%s: %v", g.VM, g.Duration)
		// A VM sees the writes of its own callers only, so its gap is at least
		// that of all callers, but for the way of an answer to its caller.
		if g.Duration < want-50*time.Millisecond || g.Duration >= 7*time.Second {
			t.Errorf("%s: got a gap of %v, want at least %v and under 7s", g.VM, g.Duration, want)
		}
	}
}
