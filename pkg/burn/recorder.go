package burn

import (
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// Other is the name of the series for the services or customers above the
// limit.
const Other = "other"

// defaultMaxSeries limits the memory of each dimension to about 15 MB.
const defaultMaxSeries = 128

type seriesKey struct {
	dimension Dimension
	name      string
}

// Recorder counts the transactions of one VM. It is safe for concurrent use.
type Recorder struct {
	clock      siskin.Clock
	vm         siskin.VM
	since      time.Time
	objectives func(siskin.ServiceName) Objectives
	maxSeries  int64
	series     *shard.Map[seriesKey, *series]
	counts     map[Dimension]*atomic.Int64
	coverage   *coverage
}

// Option configures a Recorder.
type Option func(*Recorder)

// WithObjectives sets the objectives of each service.
func WithObjectives(of func(siskin.ServiceName) Objectives) Option {
	return func(r *Recorder) { r.objectives = of }
}

// WithMaxSeries sets the largest number of services, and of customers, that are
// counted by name.
func WithMaxSeries(n int) Option {
	return func(r *Recorder) { r.maxSeries = int64(n) }
}

// New returns a recorder for this run of vm.
func New(clock siskin.Clock, vm siskin.VM, options ...Option) *Recorder {
	r := &Recorder{
		clock: clock, vm: vm, since: clock.Now(), maxSeries: defaultMaxSeries,
		objectives: func(siskin.ServiceName) Objectives { return DefaultObjectives },
		series:     shard.New[seriesKey, *series](),
		counts:     map[Dimension]*atomic.Int64{ServiceDimension: new(atomic.Int64), CustomerDimension: new(atomic.Int64)},
		coverage:   newCoverage(),
	}
	for _, o := range options {
		o(r)
	}
	r.coverage.mark(r.since)
	return r
}

// Transaction counts one transaction. It does not allocate if the series of the
// service and the customer exist. An empty customer means that the caller is
// unknown.
func (r *Recorder) Transaction(service siskin.ServiceName, customer siskin.CustomerID, res Result) {
	now := r.clock.Now()
	r.coverage.mark(now)
	slow := res.Latency > r.objectives(service).LatencyThreshold
	r.seriesOf(ServiceDimension, string(service)).record(now, &res, slow)
	if customer != "" {
		r.seriesOf(CustomerDimension, string(customer)).record(now, &res, slow)
	}
}

// WriteGap records the write gap of a failover. The gap ends now.
func (r *Recorder) WriteGap(service siskin.ServiceName, gap time.Duration) {
	r.seriesOf(ServiceDimension, string(service)).addGap(Gap{VM: r.vm.ID, At: r.clock.Now().UTC(), Duration: gap})
}

// ExtendGap increases the length of the last write gap of a service to gap. The
// full length is known only when a write that waited during the gap has ended.
func (r *Recorder) ExtendGap(service siskin.ServiceName, gap time.Duration) {
	r.seriesOf(ServiceDimension, string(service)).extendGap(gap)
}

// Tick records that the VM is running. Call it about once a second: 20 s without
// a call or a transaction are reported as time in which the VM did not run.
func (r *Recorder) Tick() { r.coverage.mark(r.clock.Now()) }

// seriesOf returns the series of name, or that of Other when the limit of the
// dimension is reached.
func (r *Recorder) seriesOf(d Dimension, name string) *series {
	key := seriesKey{d, name}
	if s, ok := r.series.Get(key); ok {
		return s
	}
	if r.counts[d].Add(1) > r.maxSeries {
		r.counts[d].Add(-1)
		key.name = Other
		return r.series.GetOrCreate(key, newSeries)
	}
	created := false
	s := r.series.GetOrCreate(key, func() *series {
		created = true
		return newSeries()
	})
	if !created {
		r.counts[d].Add(-1)
	}
	return s
}

// Record returns the current counts.
func (r *Recorder) Record() Record {
	now := r.clock.Now()
	r.coverage.mark(now)
	vm := VMRecord{VM: r.vm.ID, Incarnation: r.vm.Incarnation, DataCentre: r.vm.DataCentre, Since: r.since.UTC(), Until: now.UTC()}
	for _, w := range Windows {
		covered, down := r.coverage.covered(now, w, r.since)
		vm.Covered = append(vm.Covered, covered)
		if w == longestWindow {
			vm.Down = down
		}
	}
	rec := Record{VMs: []VMRecord{vm}}
	r.series.Range(func(key seriesKey, s *series) bool {
		sr := s.snapshot(now)
		sr.Dimension, sr.Name = key.dimension, key.name
		if key.dimension == ServiceDimension {
			o := r.objectives(siskin.ServiceName(key.name))
			sr.Objectives = &o
		}
		rec.Series = append(rec.Series, sr)
		return true
	})
	rec.sort()
	return rec
}
