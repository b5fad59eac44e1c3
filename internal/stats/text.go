package stats

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
)

// write writes all series in the Prometheus text format, ordered by name.
func (r *reporter) write(w io.Writer) error {
	out := bufio.NewWriter(w)
	r.mu.Lock()
	names := slices.Sorted(maps.Keys(r.families))
	fmt.Fprintf(out, "# TYPE siskintray_dropped_series gauge\nsiskintray_dropped_series %d\n", r.dropped)
	for _, name := range names {
		f := r.families[name]
		if len(f.series) == 0 {
			continue
		}
		fmt.Fprintf(out, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			f.series[labels].write(out, name, f.kind)
		}
	}
	r.mu.Unlock()
	return out.Flush()
}

func (s *series) write(out *bufio.Writer, name, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind != "histogram" {
		fmt.Fprintf(out, "%s%s %s\n", name, bracedLabels(s.labels), formatValue(s.value))
		return
	}
	sep := ""
	if s.labels != "" {
		sep = ","
	}
	total := int64(0)
	bounds := slices.Sorted(maps.Keys(s.buckets))
	for _, upper := range bounds {
		total += s.buckets[upper]
		if !math.IsInf(upper, 1) {
			fmt.Fprintf(out, "%s_bucket{%s%sle=%q} %d\n", name, s.labels, sep, formatValue(upper), total)
		}
	}
	fmt.Fprintf(out, "%s_bucket{%s%sle=\"+Inf\"} %d\n", name, s.labels, sep, total)
	// tally reports no sum for histograms; only timers have one.
	if s.value > 0 {
		fmt.Fprintf(out, "%s_sum%s %s\n", name, bracedLabels(s.labels), formatValue(s.value))
	}
	fmt.Fprintf(out, "%s_count%s %d\n", name, bracedLabels(s.labels), total)
}

func bracedLabels(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
