package burn

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// WriteText writes the report as text for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, vm := range r.VMs {
		fmt.Fprintf(&b, "VM %s (incarnation %d) in %s: counts since %s, until %s\n", vm.VM, vm.Incarnation, vm.DataCentre, vm.Since.Format(time.RFC3339), vm.Until.Format(time.RFC3339))
		for _, d := range vm.Down {
			fmt.Fprintf(&b, "  did not run from %s to %s\n", d.From.Format(time.RFC3339), d.To.Format(time.RFC3339))
		}
	}
	b.WriteString("covered:")
	for i, win := range r.Windows {
		fmt.Fprintf(&b, "  %s %s", windowName(i), percent(win.Coverage))
	}
	b.WriteString("\n")
	if r.Incomplete != "" {
		fmt.Fprintf(&b, "! incomplete: %s\n", r.Incomplete)
	}
	for i := range r.Series {
		r.Series[i].writeText(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (s *SeriesReport) writeText(b *strings.Builder) {
	fmt.Fprintf(b, "\n%s %s\n", s.Dimension, s.Name)
	for _, a := range s.Alerts {
		fmt.Fprintf(b, "  ! %s: %s\n", a.Severity, a.Reason)
	}
	for _, o := range s.Objectives {
		fmt.Fprintf(b, "  %-13s target %-6s budget left %-24s burn", o.Name, percent(o.Target), o.Left())
		for i, burn := range o.Burns {
			fmt.Fprintf(b, "  %s %s", windowName(i), burn.Text())
		}
		b.WriteString("\n")
	}
	for _, kind := range slices.Sorted(maps.Keys(s.ByKind)) {
		fmt.Fprintf(b, "  %-13s %d\n", kind, s.ByKind[kind])
	}
	if s.WithinRate > 0 {
		fmt.Fprintf(b, "  refused although within rate: %d\n", s.WithinRate)
	}
	for _, g := range s.Gaps {
		fmt.Fprintf(b, "  write gap of %s until %s, seen by %s\n", round(g.Duration), g.At.Format(time.RFC3339), g.VM)
	}
}

// Text returns the rate, or "no data".
func (b Burn) Text() string {
	if b.Rate == nil {
		return "no data"
	}
	return fmt.Sprintf("%.2f", *b.Rate)
}

// Left returns the remaining budget in percent, with the coverage if it is low,
// or "no data".
func (o ObjectiveReport) Left() string {
	if o.BudgetLeft == nil {
		return "no data"
	}
	left := percent(*o.BudgetLeft)
	if o.Coverage < minCoverage {
		left += " (" + percent(o.Coverage) + " covered)"
	}
	return left
}

// percent formats a share in percent. Rounding does not hide a small loss:
// 99.996% is not written as 100%, and 0.004% is not written as 0%.
func percent(x float64) string {
	s := fmt.Sprintf("%.2f", 100*x)
	if s == "100.00" && x < 1 {
		return "99.99%"
	}
	if s == "0.00" && x > 0 {
		return "<0.01%"
	}
	return strings.TrimSuffix(strings.TrimRight(s, "0"), ".") + "%"
}
