package load

import (
	"fmt"
	"slices"
)

// Verdict compares what callers saw of their writes with the data at the end.
type Verdict struct {
	AcknowledgedWrites int
	LostWrites         int
	// RanThoughNotRun counts writes that were refused as not run and are in
	// the data.
	RanThoughNotRun int
	Breaches        []string
}

// Judge returns the verdict on a run, given the data at its end.
func Judge(r *Recorder, data map[string]string) Verdict {
	v := Verdict{Breaches: r.Breaches()}
	for _, e := range r.Events() {
		if e.Operation != Write || e.Key == "" {
			continue
		}
		_, present := data[e.Key]
		switch {
		case e.Outcome == Acknowledged:
			v.AcknowledgedWrites++
			if !present {
				v.LostWrites++
				v.Breaches = append(v.Breaches, fmt.Sprintf("lost write: %s was acknowledged %v into the run and is gone", e.Key, e.Ended))
			}
		case e.Outcome.IsNotRun() && present:
			v.RanThoughNotRun++
			v.Breaches = append(v.Breaches, fmt.Sprintf("not run: %s was refused as %s and is in the data", e.Key, e.Outcome))
		}
	}
	slices.Sort(v.Breaches)
	return v
}
