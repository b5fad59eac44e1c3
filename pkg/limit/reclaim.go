package limit

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// reclaimStep is the delay between the holders that may start a reclaim, by
// rank. A race between two of them costs time only.
const reclaimStep = 3 * time.Second

// maintain drops the rights of a VM that finds itself gone or superseded, and
// reclaims the units of gone holders.
func (l *Limiter) maintain(ctx context.Context) {
	if l.gone(l.core.self) {
		l.logf("limit: this VM is gone or superseded; dropping all rights")
		l.core.leaving.Store(true)
		l.core.drop()
		return
	}
	l.core.forget(l.gone)
	silent := make(map[siskin.VMID]bool)
	for i := range buckets {
		holders := l.core.holdersOf(i)
		if len(holders) == 0 || anySilent(holders, silent) {
			continue
		}
		if !l.needsReclaim(i, holders) {
			l.reclaimDue[i] = time.Time{}
			continue
		}
		now := l.clock.Now()
		if l.reclaimDue[i].IsZero() {
			l.reclaimDue[i] = now.Add(time.Duration(l.rank(i, holders)) * reclaimStep)
		}
		if now.Before(l.reclaimDue[i]) {
			continue
		}
		if err := l.reclaim(ctx, i, silent); err != nil {
			l.logf("limit: reclaim of bucket %d is blocked: %v", i, err)
		}
	}
	l.refreshRecord(ctx)
}

// anySilent reports whether a holder did not answer in this round. Asking it
// again for each bucket would take a timeout each.
func anySilent(holders []holderID, silent map[siskin.VMID]bool) bool {
	for _, h := range holders {
		if silent[h.VM] {
			return true
		}
	}
	return false
}

// gone reports whether there is evidence that a holder cannot run anymore. An
// absent or unreachable VM is none, nor is the tombstone of an earlier run: a
// VM may start again under its name.
func (l *Limiter) gone(h holderID) bool {
	vm, ok := l.members.Lookup(h.VM)
	return ok && (vm.Incarnation > h.Incarnation || (vm.Incarnation == h.Incarnation && vm.State == siskin.VMGone))
}

func (l *Limiter) needsReclaim(i int, holders []holderID) bool {
	if l.core.reporting(i) {
		return true
	}
	for _, h := range holders {
		if l.gone(h) {
			return true
		}
	}
	return false
}

// rank returns this VM's place among the live holders of a bucket.
func (l *Limiter) rank(i int, holders []holderID) int {
	var vms []siskin.VM
	for _, vm := range l.members.Live() {
		for _, h := range holders {
			if h.VM == vm.ID && h.Incarnation == vm.Incarnation {
				vms = append(vms, vm)
			}
		}
	}
	for rank, vm := range place.Rank(string(objectName(i)), vms) {
		if vm.ID == l.core.self.VM {
			return rank
		}
	}
	return len(vms)
}

// reclaim moves a bucket to the next epoch without its gone holders, collects
// the reports of the others and grants the missing units to this VM. It goes
// on where an earlier reclaimer stopped. Holders that do not answer are added to
// silent.
func (l *Limiter) reclaim(ctx context.Context, i int, silent map[siskin.VMID]bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, r, err := l.get(ctx, i)
	if err != nil || version == 0 {
		return err
	}
	if next, changed := l.nextEpoch(&r); changed {
		if version, err = l.put(ctx, i, &next, version); err != nil {
			return err
		}
		r = next
		l.logf("limit: bucket %d entered epoch %d with %d holders", i, r.Epoch, len(r.Holders))
	}
	l.core.apply(l.now(), i, &r)
	if !r.Reporting {
		return nil
	}
	reports, err := l.collect(ctx, i, &r, silent)
	if err != nil {
		return err
	}
	g := missing(reports)
	if err := g.check(); err != nil {
		return err
	}
	g.To = l.core.self
	r.Reporting = false
	r.Grants = []grant{g}
	if _, err := l.put(ctx, i, &r, version); err != nil {
		return err
	}
	l.core.apply(l.now(), i, &r)
	return nil
}

// nextEpoch returns the record after the removal of gone holders. This VM must
// be a holder to be granted the missing units.
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

// collect gets the report of every holder; one that cannot be reached blocks
// the reclaim, since it may still use its units.
func (l *Limiter) collect(ctx context.Context, i int, r *record, silent map[siskin.VMID]bool) ([]ReportReply, error) {
	reports := make([]ReportReply, 0, len(r.Holders))
	for _, h := range r.Holders {
		var reply ReportReply
		var err error
		if h == l.core.self {
			reply, err = l.core.report(i, r.Epoch)
		} else {
			args := &ReportArgs{Bucket: i, Epoch: r.Epoch, ToIncarnation: h.Incarnation}
			err = l.peers.Call(ctx, h.VM, "Limit.Report", args, &reply)
		}
		if err != nil {
			silent[h.VM] = true
			return nil, siskin.NewError(siskin.Unavailable, "no report of holder %s", h.VM).
				WithRemedy("the reclaim is repeated until all holders report").WithCause(err)
		}
		reports = append(reports, reply)
	}
	return reports, nil
}

// missing returns the units that no report accounts for, with empty buckets.
func missing(reports []ReportReply) grant {
	g := grant{Rest: siskin.TotalUnits, Customers: make(map[siskin.CustomerID]siskin.Units)}
	for _, r := range reports {
		g.Rest -= r.Rest
		for id := range r.Customers {
			g.Customers[id] = siskin.TotalUnits
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

// check refuses a grant after reports of more than the whole right.
func (g *grant) check() error {
	lowest := g.Rest
	for _, units := range g.Customers {
		lowest = min(lowest, units)
	}
	if invUnits.Check(lowest >= 0, "reports of holders exceed the whole right by %d units", -lowest) {
		return nil
	}
	return siskin.NewError(siskin.Internal, "reports of holders exceed the whole right by %d units", -lowest).
		WithRemedy("report this fault with the log of all holders")
}
