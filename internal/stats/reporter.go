package stats

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reporter keeps the values of all series for one VM. The Prometheus reporter of
// tally is not used because the default registry of the Prometheus client
// library would be shared by all VMs of a process.
type reporter struct {
	mu       sync.Mutex
	families map[string]*family
	series   int
	limit    int
	dropped  int64 // series refused because of the limit
}

// family holds the series of one metric name.
type family struct {
	kind   string // counter, gauge or histogram
	series map[string]*series
}

// series is one metric with one set of labels.
type series struct {
	mu     sync.Mutex
	labels string
	value  float64
	// buckets counts samples by upper bound; they are not cumulative.
	buckets map[float64]int64
}

func newReporter(limit int) *reporter {
	return &reporter{families: map[string]*family{}, limit: limit}
}

// lookupOrCreate returns the series with the given name and tags. Above the
// limit, or if the name is in use for another kind, it returns a series that is
// not exported.
func (r *reporter) lookupOrCreate(kind, name string, tags map[string]string) *series {
	name, labels := sanitizeName(name), formatLabels(tags)
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.families[name]
	if !ok {
		f = &family{kind: kind, series: map[string]*series{}}
		r.families[name] = f
	}
	s, ok := f.series[labels]
	if ok && f.kind == kind {
		return s
	}
	s = &series{labels: labels, buckets: map[float64]int64{}}
	if f.kind != kind || r.series >= r.limit {
		r.dropped++
		return s
	}
	r.series++
	f.series[labels] = s
	return s
}

// Capabilities implements tally.CachedStatsReporter.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *reporter) Tagging() bool { return true }

// Flush implements tally.CachedStatsReporter.
func (r *reporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.lookupOrCreate("counter", name, tags)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.lookupOrCreate("gauge", name, tags)
}

// timerBuckets are the upper bounds of timer buckets in seconds. They range from
// less than a local call takes to the longest deadline.
var timerBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 60, math.Inf(1)}

// AllocateTimer implements tally.CachedStatsReporter.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return r.lookupOrCreate("histogram", name, tags)
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *reporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return r.lookupOrCreate("histogram", name, tags)
}

// ReportCount implements tally.CachedCount; the value is the increase since the
// last report.
func (s *series) ReportCount(value int64) {
	s.mu.Lock()
	s.value += float64(value)
	s.mu.Unlock()
}

// ReportGauge implements tally.CachedGauge.
func (s *series) ReportGauge(value float64) {
	s.mu.Lock()
	s.value = value
	s.mu.Unlock()
}

// ReportTimer implements tally.CachedTimer.
func (s *series) ReportTimer(d time.Duration) {
	i, _ := slices.BinarySearch(timerBuckets, d.Seconds())
	s.mu.Lock()
	s.buckets[timerBuckets[min(i, len(timerBuckets)-1)]]++
	s.value += d.Seconds()
	s.mu.Unlock()
}

// ValueBucket implements tally.CachedHistogram.
func (s *series) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	return bucket{s, upper}
}

// DurationBucket implements tally.CachedHistogram.
func (s *series) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return bucket{s, math.Inf(1)}
	}
	return bucket{s, upper.Seconds()}
}

type bucket struct {
	s     *series
	upper float64
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b bucket) ReportSamples(n int64) {
	b.s.mu.Lock()
	b.s.buckets[b.upper] += n
	b.s.mu.Unlock()
}

// sanitizeName replaces characters that Prometheus does not accept in names.
func sanitizeName(s string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' {
			return c
		}
		return '_'
	}, s)
}

var escapeLabel = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)

// formatLabels returns the labels in the Prometheus text format, sorted by name.
func formatLabels(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for name, value := range tags {
		parts = append(parts, sanitizeName(name)+`="`+escapeLabel.Replace(strings.ToValidUTF8(value, "?"))+`"`)
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

func formatValue(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}
