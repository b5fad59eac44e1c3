package stats

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
)

// TestText guards against metrics that a scraper misreads: unescaped quotes in
// labels, buckets that are not cumulative, or lost counts.
func TestText(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := New()
	scope := s.Scope()
	c := scope.Tagged(map[string]string{"customer": "a\"b\n", "kind": "NotRun"}).Counter("refused")
	for range 10 {
		c.Inc(1)
	}
	scope.Gauge("connections").Update(2.5)
	scope.Timer("latency").Record(15 * time.Millisecond)
	h := scope.Histogram("wait", tally.ValueBuckets{1, 2})
	for _, v := range []float64{0.5, 1.5, 1.5, 9} {
		h.RecordValue(v)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := s.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`siskintray_refused{customer="a\"b\n",kind="NotRun"} 10`,
		"# TYPE siskintray_connections gauge\nsiskintray_connections 2.5",
		`siskintray_latency_bucket{le="0.02"} 1`, "siskintray_latency_sum 0.015",
		`siskintray_wait_bucket{le="1"} 1`, `siskintray_wait_bucket{le="2"} 3`, `siskintray_wait_bucket{le="+Inf"} 4`, "siskintray_wait_count 4",
	} {
		if !strings.Contains(b.String(), want+"\n") {
			t.Errorf("got:\n%s\nwant a line %s", b.String(), want)
		}
	}
}

// TestCardinality guards against an unbounded number of label values or series,
// also when many new names arrive concurrently.
func TestCardinality(t *testing.T) {
	l := NewLabelLimiter(10)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 1000 {
				l.Value(fmt.Sprintf("c-%d", (i+g*125)%1000))
			}
		})
	}
	wg.Wait()
	own := 0
	for i := range 1000 {
		if l.Value(fmt.Sprintf("c-%d", i)) != Other {
			own++
		}
	}
	if own > 10 || own == 0 || l.known.Len() > 10 {
		t.Errorf("got %d own values and %d records, want 1 to 10", own, l.known.Len())
	}
	r := newReporter(5)
	for i := range 20 {
		r.AllocateCounter("x", map[string]string{"i": fmt.Sprint(i)}).ReportCount(1)
	}
	if got, want := r.series, 5; got != want || r.dropped != 15 {
		t.Errorf("got %d series and %d dropped, want %d and 15", got, r.dropped, want)
	}
}

// BenchmarkLabel guards against allocations for a known customer.
func BenchmarkLabel(b *testing.B) {
	l := NewLabelLimiter(10)
	l.Value("shop")
	b.ReportAllocs()
	for b.Loop() {
		l.Value("shop")
	}
}
