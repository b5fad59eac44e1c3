package limit

import (
	"context"
	"fmt"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// readRecords reads the records that the core asked for. A record that cannot
// be read is tried again later; until then the VM admits nothing of a bucket
// that it is not a holder of.
func (l *Limiter) readRecords(ctx context.Context) {
	for _, i := range l.core.todo.takeBuckets() {
		if l.clock.Now().Before(l.readAfter[i]) {
			l.core.todo.addBucket(i)
			continue
		}
		err := l.readRecord(ctx, i)
		l.core.setUnreadable(i, err != nil && siskin.KindOf(err) != siskin.Conflict)
		if err != nil {
			l.readAfter[i] = l.clock.Now().Add(min(firstRetry<<min(l.readFails[i], 8), maxBackoff))
			l.readFails[i]++
			l.core.todo.addBucket(i)
			continue
		}
		l.readFails[i] = 0
	}
}

// Prepare makes this VM a holder for customers before their first request,
// such as those of services whose slots it is next in line for. A VM cannot
// become a holder while the platform is down.
func (l *Limiter) Prepare(customers ...siskin.CustomerID) {
	for _, id := range customers {
		l.core.prepare(bucketOf(id))
	}
}

// readRecord reads a bucket's record, creates it when there is none, and adds
// this VM to the holders when it serves customers of the bucket.
func (l *Limiter) readRecord(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, r, err := l.get(ctx, i)
	if err != nil {
		return err
	}
	serves := l.core.serves(i)
	switch {
	case version == 0 && serves:
		if r, err = l.initial(ctx, i); err != nil {
			return err
		}
	case version != 0 && serves && !r.holds(l.core.self):
		r.Holders = append(r.Holders, l.core.self)
	default:
		l.core.apply(l.now(), i, &r)
		return nil
	}
	if _, err := l.put(ctx, i, &r, version); err != nil {
		return err
	}
	l.core.apply(l.now(), i, &r)
	return nil
}

func (l *Limiter) get(ctx context.Context, i int) (siskin.Version, record, error) {
	o, err := l.platform.Get(ctx, objectName(i))
	if err != nil || o.Version == 0 {
		return 0, record{}, err
	}
	r, err := parseRecord(o.Value)
	return o.Version, r, err
}

func (l *Limiter) put(ctx context.Context, i int, r *record, version siskin.Version) (siskin.Version, error) {
	value, err := r.encode()
	if err != nil {
		return 0, err
	}
	self := l.core.self
	op := fmt.Sprintf("limit-%s-%d-%d", self.VM, self.Incarnation, l.operations.Add(1))
	return l.platform.Put(ctx, objectName(i), value, version, siskin.OperationID(op))
}

// initial grants the units of a new bucket in equal parts to one VM per data
// centre, so that each data centre starts with a part that needs no contact
// with the others. The platform's list counts beside the members, since a VM
// that has just started knows no other member yet.
func (l *Limiter) initial(ctx context.Context, i int) (record, error) {
	listed, err := l.platform.VMs(ctx)
	if err != nil {
		return record{}, err
	}
	byDC := make(map[siskin.DataCentreID][]siskin.VM)
	for _, vm := range append(l.members.Live(), listed...) {
		known, ok := l.members.Lookup(vm.ID)
		if vm.State == siskin.VMLive && (!ok || known.Incarnation <= vm.Incarnation) {
			byDC[vm.DataCentre] = append(byDC[vm.DataCentre], vm)
		}
	}
	r := record{Epoch: 1}
	left, parts := siskin.TotalUnits, siskin.Units(len(byDC))
	for _, dc := range sorted(byDC) {
		best, _ := place.Best(string(objectName(i)), byDC[dc])
		units := left / parts
		left, parts = left-units, parts-1
		to := holderID{best.ID, best.Incarnation}
		r.Grants = append(r.Grants, grant{To: to, Rest: units, Full: true})
		r.Holders = append(r.Holders, to)
	}
	if !r.holds(l.core.self) {
		r.Holders = append(r.Holders, l.core.self)
	}
	return r, nil
}

// refreshRecord reads one record that this VM holds units of, so that it
// learns of later holders. At 2,800 VMs this costs 93 reads a second.
func (l *Limiter) refreshRecord(ctx context.Context) {
	if now := l.clock.Now(); now.Sub(l.refreshAt) < refreshEvery {
		return
	}
	l.refreshAt = l.clock.Now()
	for range buckets {
		l.refreshed = (l.refreshed + 1) % buckets
		if len(l.core.holdersOf(l.refreshed)) > 0 {
			_ = l.readRecord(ctx, l.refreshed) // the next round tries another one
			return
		}
	}
}

const refreshEvery = 30 * time.Second
