package limit

import (
	"context"
	"errors"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// reclaimRankDelay is the time after which the holder of the next rank may
// start a reclaim too. Two concurrent reclaims are safe, but slower.
const reclaimRankDelay = 3 * time.Second

// reclaimTimeout bounds the reclaims in one object. It covers a few calls to
// the platform and to holders that do not answer. The next round continues
// with the reports received so far.
const reclaimTimeout = 5 * callTimeout

// maintain reclaims the units of gone holders. If this VM itself is gone or
// superseded, it drops all its units instead.
func (l *Limiter) maintain(ctx context.Context) {
	if l.gone(l.core.self) {
		l.logf("limit: this VM is gone or superseded by a newer incarnation; dropping all units")
		l.core.stopping.Store(true)
		l.core.drop()
		return
	}
	l.core.forgetGone(l.gone)
	due := make(map[int][]int) // buckets by object
	unresponsive := make(map[siskin.VMID]bool)
	for i := range l.core.each() {
		if l.due(i) && !l.awaitsReports(ctx, i, unresponsive) {
			due[objectOf(i)] = append(due[objectOf(i)], i)
		}
	}
	for _, o := range sorted(due) {
		if err := l.reclaim(ctx, o, due[o], unresponsive); err != nil {
			l.logf("limit: reclaim in object %s is blocked: %v", objectName(o), err)
		}
	}
	l.refreshNextObject(ctx)
}

// due reports whether a bucket needs a reclaim and this VM may start it now.
func (l *Limiter) due(i int) bool {
	holders := l.core.holdersOf(i)
	if len(holders) == 0 || !l.needsReclaim(i, holders) {
		delete(l.reclaimDue, i)
		delete(l.reportSets, i)
		return false
	}
	now := l.clock.Now()
	if _, ok := l.reclaimDue[i]; !ok {
		l.reclaimDue[i] = now.Add(time.Duration(l.rank(i, holders)) * reclaimRankDelay)
	}
	return !now.Before(l.reclaimDue[i])
}

// gone reports whether there is evidence that a holder has stopped for good.
// An absent or unreachable VM is no evidence, and neither is the tombstone of
// an earlier incarnation, since a VM may restart under its name.
func (l *Limiter) gone(h holderID) bool {
	vm, ok := l.members.Lookup(h.VM)
	return ok && (vm.Incarnation > h.Incarnation || (vm.Incarnation == h.Incarnation && vm.State == siskin.VMGone))
}

// needsReclaim reports whether a reclaim of the bucket is in progress or one
// of the holders is gone.
func (l *Limiter) needsReclaim(i int, holders []holderID) bool {
	_, reporting := l.core.reporting(i)
	return reporting || slices.ContainsFunc(holders, l.gone)
}

// rank returns this VM's rank among the live holders of a bucket.
func (l *Limiter) rank(i int, holders []holderID) int {
	var vms []siskin.VM
	for _, vm := range l.members.Live() {
		for _, h := range holders {
			if h.VM == vm.ID && h.Incarnation == vm.Incarnation {
				vms = append(vms, vm)
			}
		}
	}
	for rank, vm := range place.Rank(string(objectName(objectOf(i))), vms) {
		if vm.ID == l.core.self.VM {
			return rank
		}
	}
	return len(vms)
}

// reclaim advances buckets of one object to the next epoch without their gone
// holders, collects the reports of the remaining ones and grants the
// unaccounted units to this VM. It resumes a reclaim that another VM left
// unfinished. A holder that does not answer blocks only its own buckets.
func (l *Limiter) reclaim(ctx context.Context, o int, due []int, unresponsive map[siskin.VMID]bool) error {
	ctx, cancel := context.WithTimeout(ctx, reclaimTimeout)
	defer cancel()
	version, object, err := l.getObject(ctx, o)
	if err != nil || version == 0 {
		return err
	}
	if version, err = l.advanceEpochs(ctx, o, &object, due, version); err != nil {
		return err
	}
	granted := make(map[int]*record)
	var blocked error
	for _, i := range due {
		r, err := object.record(i)
		if err != nil || !r.Reporting {
			blocked = errors.Join(blocked, err)
			continue
		}
		reports, err := l.collectReports(ctx, i, &r, unresponsive)
		if err != nil {
			blocked = err
			continue
		}
		g := missingUnits(reports)
		if err := g.check(); err != nil {
			return err
		}
		g.To = l.core.self
		r.Reporting = false
		r.Grants = []grant{g}
		if err := object.set(i, &r); err != nil {
			return err
		}
		granted[i] = &r
	}
	if len(granted) == 0 {
		return blocked
	}
	if _, err := l.putObject(ctx, o, &object, version); err != nil {
		return err
	}
	for i, r := range granted {
		l.core.apply(l.now(), i, r)
	}
	return blocked
}

// advanceEpochs advances the buckets with gone holders to their next epoch by
// one update and applies the records.
func (l *Limiter) advanceEpochs(ctx context.Context, o int, object *object, due []int, version siskin.Version) (siskin.Version, error) {
	records := make(map[int]*record)
	moved := 0
	for _, i := range due {
		r, err := object.record(i)
		if err != nil || r.Epoch == 0 {
			continue
		}
		if next, changed := l.nextEpoch(&r); changed {
			if err := object.set(i, &next); err != nil {
				return version, err
			}
			r = next
			moved++
		}
		records[i] = &r
	}
	if moved > 0 {
		var err error
		if version, err = l.putObject(ctx, o, object, version); err != nil {
			return version, err
		}
		l.logf("limit: %d buckets of object %s advanced to the next epoch", moved, objectName(o))
	}
	for i, r := range records {
		l.core.apply(l.now(), i, r)
	}
	return version, nil
}

// nextEpoch returns the record without gone holders, and false if there are
// none. It adds this VM to the holders, since the unaccounted units are
// granted to it.
func (l *Limiter) nextEpoch(r *record) (record, bool) {
	next := record{Epoch: r.Epoch + 1, Reporting: true}
	for _, h := range r.Holders {
		if !l.gone(h) {
			next.Holders = append(next.Holders, h)
		}
	}
	if len(next.Holders) == len(r.Holders) {
		return record{}, false
	}
	if !next.holds(l.core.self) {
		next.Holders = append(next.Holders, l.core.self)
	}
	return next, true
}

// missingUnits returns a grant of the units that no report accounts for. They
// come without tokens.
func missingUnits(reports []ReportReply) grant {
	g := grant{Rest: siskin.TotalQuotaUnits, Customers: make(map[siskin.CustomerID]siskin.QuotaUnits)}
	for _, r := range reports {
		g.Rest -= r.Rest
		for id := range r.Customers {
			g.Customers[id] = siskin.TotalQuotaUnits
		}
	}
	for id := range g.Customers {
		for _, r := range reports {
			units, ok := r.Customers[id]
			if !ok {
				units = r.Rest
			}
			g.Customers[id] -= units
		}
	}
	return g
}

// check returns an error if the reports exceeded the total quota.
func (g *grant) check() error {
	lowest := g.Rest
	for _, units := range g.Customers {
		lowest = min(lowest, units)
	}
	if invUnits.Check(lowest >= 0, "reports of the holders exceed the total quota by %d units", -lowest) {
		return nil
	}
	return siskin.NewError(siskin.Internal, "reports of the holders exceed the total quota by %d units", -lowest).
		WithRemedy("report this bug with the logs of all holders")
}
