package trial

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/pkg/config"
)

// Report is what the callers of a trial saw.
type Report struct {
	Seed               uint64
	Duration           config.Duration
	VMs                int
	Targets            int
	AcknowledgedWrites int
	LostWrites         int
	// WriteGap is the time from the last write acknowledged before the fault
	// to the first one after it.
	WriteGap config.Duration
	// NewPrimary says that writes were acknowledged after the fault.
	NewPrimary   bool
	Reads        int
	ReplicaShare float64
	Outcomes     map[load.Outcome]int
	// RefusedWithinRate counts requests that were refused for their rate
	// although the customer was within it.
	RefusedWithinRate int
	P50, P99          config.Duration
	// Breaches are the broken promises that were seen.
	Breaches []string
}

// OK reports whether every promise was kept.
func (r *Report) OK() bool { return len(r.Breaches) == 0 }

// WriteText writes the report for reading on a terminal.
func (r *Report) WriteText(w io.Writer) error {
	lines := []struct{ name, value string }{
		{"Seed", fmt.Sprint(r.Seed)},
		{"VMs, targets", fmt.Sprintf("%d, %d", r.VMs, r.Targets)},
		{"Load", r.Duration.String()},
		{"Acknowledged writes", fmt.Sprint(r.AcknowledgedWrites)},
		{"Lost writes", fmt.Sprint(r.LostWrites)},
		{"Write gap at the failover", r.WriteGap.String()},
		{"Reads", fmt.Sprint(r.Reads)},
		{"Reads from replicas", fmt.Sprintf("%.1f%%", 100*r.ReplicaShare)},
		{"Latency p50, p99", fmt.Sprintf("%v, %v", r.P50, r.P99)},
		{"Refused within rate", fmt.Sprint(r.RefusedWithinRate)},
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%-28s %s\n", l.name, l.value); err != nil {
			return err
		}
	}
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		if _, err := fmt.Fprintf(w, "%-28s %d\n", "Outcome "+string(outcome), r.Outcomes[outcome]); err != nil {
			return err
		}
	}
	for _, b := range r.Breaches {
		if _, err := fmt.Fprintf(w, "BROKEN PROMISE: %s\n", b); err != nil {
			return err
		}
	}
	verdict := "Every promise was kept."
	if !r.OK() {
		verdict = fmt.Sprintf("%d promises were broken.", len(r.Breaches))
	}
	_, err := fmt.Fprintln(w, verdict)
	return err
}
