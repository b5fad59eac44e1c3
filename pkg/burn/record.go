package burn

import (
	"cmp"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// Dimension says what a series is about.
type Dimension string

// Dimensions of series.
const (
	ServiceDimension  Dimension = "Service"
	CustomerDimension Dimension = "Customer"
)

// Record holds the counts of one VM, or of several after Merge.
type Record struct {
	VMs    []VMRecord
	Series []SeriesRecord // ordered by dimension and name
}

// VMRecord says which time the counts of one run of a VM cover.
type VMRecord struct {
	VM          siskin.VMID
	Incarnation siskin.Incarnation
	DataCentre  siskin.DataCentreID
	Since       time.Time // start of this run; nothing before it is counted
	Until       time.Time // time of the record
	// Covered is the time of each of Windows in which the VM ran.
	Covered []time.Duration
	// Down are stretches of the longest window, after Since, in which the VM
	// did not run, such as while it was paused.
	Down []Interval `json:",omitempty"`
}

// Interval is a stretch of time.
type Interval struct{ From, To time.Time }

// SeriesRecord holds the counts of one service or customer.
type SeriesRecord struct {
	Dimension Dimension
	Name      string
	// Objectives are those that the VM had for the service when the record was
	// made; nil for a customer.
	Objectives *Objectives `json:",omitempty"`
	Windows    []Counts    // one for each of Windows
	Gaps       []Gap       `json:",omitempty"`
	Hour       []Point     `json:",omitempty"` // the last hour by minute
	Days       []Point     `json:",omitempty"` // the longest window by hour
}

// Gap is the write gap of one failover, as one VM saw it.
type Gap struct {
	VM       siskin.VMID
	At       time.Time     // first write acknowledged after the failover
	Duration time.Duration // since the last write acknowledged before it
}

// Point is one step of a plot.
type Point struct {
	At               time.Time
	Total, Bad, Slow int64
}

// Merge adds the records of several VMs. The objectives of a service are those
// of the latest record. Two records of the same run of a VM
// are refused, since its transactions would count twice.
func Merge(records ...Record) (Record, error) {
	type run struct {
		vm  siskin.VMID
		inc siskin.Incarnation
	}
	seen := map[run]bool{}
	series := map[seriesKey]*SeriesRecord{}
	objectivesAt := map[seriesKey]time.Time{} // times of the records with the objectives
	var merged Record
	for _, rec := range records {
		for _, vm := range rec.VMs {
			if k := (run{vm.VM, vm.Incarnation}); seen[k] {
				return Record{}, siskin.NewError(siskin.BadInput, "two records are of VM %s, incarnation %d", vm.VM, vm.Incarnation).
					WithRemedy("merge one record for each run of a VM")
			} else {
				seen[k] = true
			}
			if len(vm.Covered) != len(Windows) {
				return Record{}, malformed(string(vm.VM))
			}
			merged.VMs = append(merged.VMs, vm)
		}
		for i := range rec.Series {
			s := &rec.Series[i]
			if len(s.Windows) != len(Windows) {
				return Record{}, malformed(s.Name)
			}
			k := seriesKey{s.Dimension, s.Name}
			if series[k] == nil {
				series[k] = &SeriesRecord{Dimension: s.Dimension, Name: s.Name, Windows: make([]Counts, len(Windows))}
			}
			if at := rec.until(); s.Objectives != nil && !at.Before(objectivesAt[k]) {
				series[k].Objectives, objectivesAt[k] = s.Objectives, at
			}
			series[k].add(s)
		}
	}
	for _, s := range series {
		merged.Series = append(merged.Series, *s)
	}
	merged.sort()
	return merged, nil
}

// until returns the time of the record.
func (r *Record) until() (latest time.Time) {
	for i := range r.VMs {
		if r.VMs[i].Until.After(latest) {
			latest = r.VMs[i].Until
		}
	}
	return latest
}

func malformed(name string) error {
	return siskin.NewError(siskin.BadInput, "record of %.64q has another number of windows", name).
		WithRemedy("read the record from a VM of the same version")
}

func (r *Record) sort() {
	slices.SortFunc(r.VMs, func(a, b VMRecord) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	slices.SortFunc(r.Series, func(a, b SeriesRecord) int {
		return cmp.Or(-cmp.Compare(a.Dimension, b.Dimension), cmp.Compare(a.Name, b.Name))
	})
}

func (s *SeriesRecord) add(other *SeriesRecord) {
	for i := range s.Windows {
		s.Windows[i].Add(other.Windows[i])
	}
	s.Gaps = append(s.Gaps, other.Gaps...)
	slices.SortStableFunc(s.Gaps, func(a, b Gap) int { return a.At.Compare(b.At) })
	s.Hour = addPoints(s.Hour, other.Hour)
	s.Days = addPoints(s.Days, other.Days)
}

func addPoints(a, b []Point) []Point {
	sum := map[int64]Point{}
	for _, p := range slices.Concat(a, b) {
		q := sum[p.At.Unix()]
		sum[p.At.Unix()] = Point{p.At, p.Total + q.Total, p.Bad + q.Bad, p.Slow + q.Slow}
	}
	all := make([]Point, 0, len(sum))
	for _, p := range sum {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b Point) int { return a.At.Compare(b.At) })
	return all
}
