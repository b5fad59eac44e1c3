package burn

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"siskintray.example/siskin"
)

var update = flag.Bool("update", false, "rewrite the expected reports")

// TestMain fixes the seed of randomized tests; override it with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// TestCountsExact guards against counts that are lost, doubled or in the wrong
// window: the counts of random transactions at random times are compared with
// those of a list of the transactions.
func TestCountsExact(t *testing.T) {
	type event struct {
		at  time.Time
		res Result
	}
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(start)
		r := New(clock, siskin.VM{ID: "vm-1"})
		var events []event
		newest := time.Time{} // a series observes the clock from its first transaction on
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			// A negative step sets the clock back.
			clock.Advance(time.Duration(rapid.SampledFrom([]int64{0, 1, 9, 10, 61, 299, 1800, 20000, 90000, -15}).Draw(t, "step")) * time.Second)
			if clock.Now().After(newest) {
				newest = clock.Now()
			}
			res := Result{
				Failed: rapid.Bool().Draw(t, "failed"), Kind: siskin.ErrorKind(rapid.IntRange(0, kindCount-1).Draw(t, "kind")),
				Latency: time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond, Read: rapid.Bool().Draw(t, "read"), ByReplica: rapid.Bool().Draw(t, "replica"),
			}
			r.Transaction("a", "c", res)
			events = append(events, event{newest, res})
		}
		rec := r.Record()
		for i, w := range Windows {
			width := fineWidth
			if w > maxFineWindow {
				width = coarseWidth
			}
			from := newest.Truncate(width).Add(width - w)
			var want Counts
			for _, e := range events {
				if !e.at.Before(from) {
					var b bucket
					b.record(&e.res, e.res.Latency > DefaultObjectives.LatencyThreshold)
					b.addTo(&want)
				}
			}
			for _, s := range rec.Series {
				if !reflect.DeepEqual(s.Windows[i], want) {
					t.Fatalf("%s %s: got %+v, want %+v", s.Dimension, Windows[i], s.Windows[i], want)
				}
			}
		}
	})
}

// TestConcurrentCountsExact guards against counts that are lost when goroutines
// record concurrently, and against a wrong sum of the records of several VMs.
func TestConcurrentCountsExact(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	var records []Record
	for vm := range 3 {
		r := New(clock, siskin.VM{ID: siskin.VMID(fmt.Sprint("vm-", vm))}, WithMaxSeries(4))
		var wg sync.WaitGroup
		for g := range 8 {
			wg.Go(func() {
				for i := range 1000 {
					r.Transaction("a", siskin.CustomerID(fmt.Sprint("c-", g)), Result{Failed: i%10 == 0, Kind: siskin.NotRun})
				}
			})
		}
		wg.Wait()
		rec := r.Record()
		if got, want := len(rec.Series), 1+4+1; got != want {
			t.Errorf("got %d series, want %d: one service, four customers and Other", got, want)
		}
		if _, err := Merge(rec, rec); err == nil {
			t.Error("got no error for two records of one run")
		}
		data, err := json.Marshal(rec)
		if err != nil {
			t.Fatal(err)
		}
		var read Record
		if err := json.Unmarshal(data, &read); err != nil {
			t.Fatal(err)
		}
		records = append(records, read)
	}
	merged, err := Merge(records...)
	if err != nil {
		t.Fatal(err)
	}
	sums := map[Dimension]int64{}
	for _, s := range merged.Series {
		sums[s.Dimension] += s.Windows[0].Done + s.Windows[0].ByKind["NotRun"]
	}
	if sums[ServiceDimension] != 24000 || sums[CustomerDimension] != 24000 || merged.Series[0].Windows[0].ByKind["NotRun"] != 2400 {
		t.Errorf("got %v, want 24000 of each, 2400 of them NotRun", sums)
	}
}

// BenchmarkTransaction measures the allocations of counting a transaction, which
// must be none.
func BenchmarkTransaction(b *testing.B) {
	r := New(clockwork.NewRealClock(), siskin.VM{ID: "vm-1"})
	b.ReportAllocs()
	for b.Loop() {
		r.Transaction("ledger-a", "shop", Result{Latency: time.Millisecond, Read: true, ByReplica: true})
	}
}
