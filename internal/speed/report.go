package speed

import (
	"math"
	"time"
)

// Report is what a home tells other VMs about a target. A home of an earlier
// version tells nothing, which is the zero value.
type Report struct {
	// Typical is the time that half of the statements of the kind exceed.
	Typical time.Duration `json:",omitempty"`
	// Spread is Figures.Spread in thousandths.
	Spread int `json:",omitempty"`
	// Samples is the number of samples that the time is worth, rounded up.
	Samples int `json:",omitempty"`
	// Limit is the number of statements that the home runs at a time.
	Limit int `json:",omitempty"`
}

// maxReported limits what another VM reports: no statement takes an hour, and
// no estimate is worth more samples.
const maxReported = time.Hour

// NewReport returns the report of figures at the given time.
func NewReport(f Figures, limit int, now time.Time) Report {
	r := Report{Limit: limit}
	if f.Samples > 0 {
		r.Typical, r.Spread = f.Typical(), int(f.Spread*1000)
		r.Samples = int(math.Ceil(Aged(f.Samples, now.Sub(f.At))))
	}
	return r
}

// Figures returns the reported figures. Values that no home measures count as
// not known.
func (r Report) Figures(at time.Time) Figures {
	if r.Typical <= 0 || r.Typical > maxReported || r.Samples <= 0 {
		return Figures{At: at}
	}
	spread := min(max(float64(r.Spread)/1000, minSpread), maxDeviation)
	return Figures{Mean: logSeconds(r.Typical), Spread: spread, Samples: min(float64(r.Samples), maxSamples), At: at}
}
