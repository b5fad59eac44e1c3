package bench

import (
	"fmt"
	"io"
	"time"

	"siskintray.example/siskin/pkg/config"
)

// Result is the outcome of one run.
type Result struct {
	Experiment string
	Profile    string
	Seed       uint64
	Duration   config.Duration
	Figures    []Figure
	// Breaches are the broken promises that were seen.
	Breaches []string
}

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the stated limit of the value; nil when none is stated.
	Bound *float64 `json:",omitempty"`
}

// OK reports whether every promise was kept.
func (r *Result) OK() bool { return len(r.Breaches) == 0 }

func (r *Result) add(name string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Unit: unit})
}

// addDuration adds a duration in milliseconds.
func (r *Result) addDuration(name string, d time.Duration) { r.add(name, milliseconds(d), "ms") }

// addBounded adds a value with its stated limit. A value above it is a breach.
func (r *Result) addBounded(name string, value, bound float64, unit string) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Unit: unit, Bound: &bound})
	if value > bound {
		r.breach("%s: got %.3f %s, the bound is %.3f", name, value, unit, bound)
	}
}

// addFloor adds a value with the least that was stated. A value below it is a
// breach.
func (r *Result) addFloor(name string, value, bound float64, unit string) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Unit: unit, Bound: &bound})
	if value < bound {
		r.breach("%s: got %.3f %s, the least is %.3f", name, value, unit, bound)
	}
}

func (r *Result) breach(format string, args ...any) {
	r.Breaches = append(r.Breaches, fmt.Sprintf(format, args...))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteText writes the result for reading on a terminal.
func (r *Result) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s, profile %s, seed %d, %v a phase\n", r.Experiment, r.Profile, r.Seed, r.Duration); err != nil {
		return err
	}
	for _, f := range r.Figures {
		bound := ""
		if f.Bound != nil {
			bound = fmt.Sprintf("  (bound %.3f)", *f.Bound)
		}
		if _, err := fmt.Fprintf(w, "  %-48s %12.3f %s%s\n", f.Name, f.Value, f.Unit, bound); err != nil {
			return err
		}
	}
	for _, b := range r.Breaches {
		if _, err := fmt.Fprintf(w, "BROKEN PROMISE: %s\n", b); err != nil {
			return err
		}
	}
	return nil
}
