package fleet

import (
	"context"
	"testing"
	"time"

	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/pkg/burn"
)

// TestRefusalsInBurnRecord guards against refusals within the rate, here of a
// fleet whose VMs cannot exchange rights, that the burn records miss or count
// for the customer and not for the service.
func TestRefusalsInBurnRecord(t *testing.T) {
	const seed, length = 1, 6 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := Start(ctx, load.Syntyma())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	// Each customer sends 80% of its rate, so that no refusal is its own.
	run := load.NewRun(f.Callers(seed, f.Profile.Services[0], 0.8, 0.1), length)
	timer := time.AfterFunc(time.Second, func() {
		for i, a := range f.VMs {
			for j, b := range f.VMs[:i] {
				if i >= 3 && j < 3 {
					f.Links.Cut(a.ID(), b.ID())
				}
			}
		}
	})
	defer timer.Stop()
	run.Do(ctx)
	f.Links.Heal()
	var record burn.Record
	err = f.wait(ctx, "burn records of all VMs", func() bool {
		err := admin.NewClient(f.VMs[0].AdminAddress(), nil).Get(ctx, "/burn/record?Fleet=yes", &record)
		return err == nil && len(record.VMs) == len(f.VMs)
	})
	if err != nil {
		t.Fatal(err)
	}
	counted := map[burn.Dimension]int64{}
	for _, s := range record.Series {
		c := &s.Windows[len(s.Windows)-1]
		counted[s.Dimension] += c.WithinRate
		if refused := c.ByKind["RateExceeded"]; c.WithinRate > refused {
			t.Errorf("%s %s: got %d within rate of %d refusals", s.Dimension, s.Name, c.WithinRate, refused)
		}
	}
	seen, events := 0, run.Recorder.Events()
	for _, c := range f.Profile.Customers {
		var own []load.Event
		for i := range events {
			if events[i].Customer == c.ID {
				own = append(own, events[i])
			}
		}
		refused, _ := load.RefusedWithinRate(own, c.Rate, c.Burst)
		seen += refused
	}
	t.Logf("seed %d: refused within rate %d by the callers, %d by the records", seed, seen, counted[burn.ServiceDimension])
	if got, want := counted[burn.ServiceDimension], counted[burn.CustomerDimension]; got != want || (got == 0) != (seen == 0) {
		t.Errorf("got %d counted for the service, %d for customers and %d seen by callers; want the first two equal, and none only when callers saw none", got, want, seen)
	}
}
