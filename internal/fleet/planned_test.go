package fleet

import (
	"context"
	"testing"
	"time"

	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/load"
)

// TestChangeBackAndForth guards against writes that fail after a target became
// the primary again, on connections that were open while it was demoted, and
// against a list of groups without the term that the platform has on record.
func TestChangeBackAndForth(t *testing.T) {
	const seed, length, every = 1, 7 * time.Second, 1500 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := Start(ctx, load.Syntyma())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	service := f.Profile.Services[0]
	for i := range 4 {
		target := f.Groups[service][(i+1)%2].ID()
		timer := time.AfterFunc(time.Duration(i+1)*every, func() {
			client := admin.NewClient(f.VMs[i].AdminAddress(), nil)
			path := "/groups/" + string(service) + "/promote"
			if err := client.Post(ctx, path, admin.PromoteRequest{Target: target}, new(admin.GroupStatus)); err != nil {
				t.Errorf("change to %s: got %v, want none", target, err)
			}
		})
		defer timer.Stop()
	}
	run := load.NewRun(f.Callers(seed, service, 0.2, 0.5), length)
	run.Do(ctx)
	counts := make(map[load.Outcome]int)
	for _, e := range run.Recorder.Events() {
		counts[e.Outcome]++
	}
	if v := load.Judge(&run.Recorder, f.Table(service)); v.LostWrites != 0 {
		t.Errorf("got %d lost writes, want 0", v.LostWrites)
	}
	t.Logf("seed %d: %v", seed, counts)
	for outcome, n := range counts {
		// Refusals by rate are measured by bench limits.
		if outcome != load.Acknowledged && outcome != load.NotSent && outcome != "RateExceeded" {
			t.Errorf("got %d requests with %s, want none", n, outcome)
		}
	}
	recorded := func() bool {
		var list admin.GroupPage
		err := admin.NewClient(f.VMs[0].AdminAddress(), nil).Get(ctx, "/groups", &list)
		return err == nil && len(list.Groups) > 0 && list.Groups[0].RecordedTerm == list.Groups[0].Term
	}
	if err := f.wait(ctx, "the record of the primary", recorded); err != nil {
		t.Error(err)
	}
}
