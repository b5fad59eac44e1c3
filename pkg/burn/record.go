package burn

import (
	"cmp"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// Dimension is what the transactions of a series have in common.
type Dimension string

// Values of Dimension.
const (
	ServiceDimension  Dimension = "Service"
	CustomerDimension Dimension = "Customer"
)

// Record holds the counts of one VM, or of several VMs after Merge.
type Record struct {
	VMs    []VMRecord
	Series []SeriesRecord // ordered by dimension and name
}

// VMRecord describes the time that the counts of one run of a VM cover.
type VMRecord struct {
	VM          siskin.VMID
	Incarnation siskin.Incarnation
	DataCentre  siskin.DataCentreID
	Since       time.Time // start of this run; nothing before it is counted
	Until       time.Time // time of the record
	// Covered is how long the VM ran in each of Windows.
	Covered []time.Duration
	// Down lists the intervals of the longest window, after Since, in which the
	// VM did not run, for instance because it was paused.
	Down []Interval `json:",omitempty"`
}

// Interval is a time interval.
type Interval struct{ From, To time.Time }

// SeriesRecord holds the counts of one service or customer.
type SeriesRecord struct {
	Dimension Dimension
	Name      string
	// Objectives are the objectives of the service when the record was made; nil
	// for a customer.
	Objectives *Objectives `json:",omitempty"`
	Windows    []Counts    // one for each of Windows
	Gaps       []Gap       `json:",omitempty"`
	Hour       []Point     `json:",omitempty"` // the last hour by minute
	Days       []Point     `json:",omitempty"` // the longest window by hour
}

// Gap is the write gap of one failover as observed by one VM.
type Gap struct {
	VM       siskin.VMID
	At       time.Time     // first write acknowledged after the failover
	Duration time.Duration // since the last write acknowledged before it
}

// Point holds the counts of one step of a plot.
type Point struct {
	At               time.Time
	Total, Bad, Slow int64
}

// Merge returns the sum of the records of several VMs. The objectives of a
// service are those of the latest record. Two records of the same run of a VM
// are an error, since its transactions would be counted twice.
func Merge(records ...Record) (Record, error) {
	type run struct {
		vm  siskin.VMID
		inc siskin.Incarnation
	}
	seen := map[run]bool{}
	series := map[seriesKey]*SeriesRecord{}
	objectivesAt := map[seriesKey]time.Time{} // times of the records that the objectives are from
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

// until returns the time of the latest VM record.
func (r *Record) until() (latest time.Time) {
	for i := range r.VMs {
		if r.VMs[i].Until.After(latest) {
			latest = r.VMs[i].Until
		}
	}
	return latest
}

func malformed(name string) error {
	return siskin.NewError(siskin.BadInput, "record of %.64q has a wrong number of windows", name).
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

// addPoints returns the points of a and b in order, with the sum of those of the
// same time.
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
