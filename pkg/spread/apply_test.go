package spread

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

func customerChange(base siskin.Revision, id string, rate float64) *config.Change {
	return &config.Change{Base: base, Customers: []*config.Customer{
		{ID: siskin.CustomerID(id), Rate: siskin.RequestsPerSecond(rate), Burst: 10, Weight: 1},
	}}
}

// TestApplyRetries guards against operators who are refused although they
// changed different documents, operators who overwrite each other's change,
// findings that do not reach the operator and a snapshot that changes.
func TestApplyRetries(t *testing.T) {
	platform, f, _ := startFleet(t, 0)
	for i := range 4 {
		f.start(t, platform, i, Config{ExchangeInterval: 100 * time.Millisecond})
	}
	all := f.all()
	race := func(base siskin.Revision, ids [2]string) (errs [2]error) {
		var done sync.WaitGroup
		for i := range errs {
			done.Go(func() {
				_, errs[i] = all[i].Spread.Apply(withTimeout(maxSpreadTime), customerChange(base, ids[i], float64(base)+1))
			})
		}
		done.Wait()
		return errs
	}
	for i := range 10 {
		base := all[0].Revision()
		before := all[0].Snapshot()
		if errs := race(base, [2]string{fmt.Sprintf("a-%d", i), fmt.Sprintf("b-%d", i)}); errors.Join(errs[:]...) != nil {
			t.Fatalf("changes of different documents: got %v, want two successes", errs)
		}
		waitForRevision(t, all, base+2, maxSpreadTime)
		if got := before.Customers(); before.Revision() != base || len(got) != 2*i {
			t.Fatalf("snapshot of revision %d: got revision %d and customers %v, want %d", base, before.Revision(), got, 2*i)
		}
	}
	base := all[0].Revision()
	errs := race(base, [2]string{"a-0", "a-0"})
	if (errs[0] == nil) == (errs[1] == nil) || siskin.KindOf(errors.Join(errs[:]...)) != siskin.Conflict {
		t.Errorf("changes of one document: got %v, want one success and one Conflict", errs)
	}
	var invalid *config.InvalidError
	if _, err := all[2].Spread.Apply(withTimeout(maxSpreadTime), customerChange(base+1, "c", -1)); !errors.As(err, &invalid) || len(invalid.Findings) != 1 {
		t.Errorf("negative rate: got %v, want one finding", err)
	}
}
