package limit

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// readRecords reads the records that the core queued, one object at a time. An
// object that cannot be read is retried later; until then the VM admits
// nothing in buckets of which it is not a holder.
func (l *Limiter) readRecords(ctx context.Context) {
	wanted := make(map[int][]int)
	for _, i := range l.core.workQueue.takeBuckets() {
		wanted[objectOf(i)] = append(wanted[objectOf(i)], i)
	}
	for _, o := range sorted(wanted) {
		if l.clock.Now().Before(l.retryReadAt[o]) {
			l.core.workQueue.addBucket(wanted[o]...)
			continue
		}
		err := l.readObject(ctx, o)
		for _, i := range wanted[o] {
			l.core.setUnreadable(i, err != nil && siskin.KindOf(err) != siskin.Conflict)
		}
		if err != nil {
			l.retryReadAt[o] = l.clock.Now().Add(min(firstRetry<<min(l.readFailures[o], 8), maxBackoff))
			l.readFailures[o]++
			l.core.workQueue.addBucket(wanted[o]...)
			continue
		}
		l.readFailures[o] = 0
	}
}

// Prepare makes this VM a holder for customers before their first request, for
// example for services whose slots it would own next. A VM cannot become a
// holder while the platform is down.
func (l *Limiter) Prepare(customers ...siskin.CustomerID) {
	for _, id := range customers {
		l.core.prepare(id)
	}
}

// readRecord reads the object that stores the record of a bucket.
func (l *Limiter) readRecord(ctx context.Context, i int) error { return l.readObject(ctx, objectOf(i)) }

// readObject reads the records in an object whose buckets are in use at this
// VM. If this VM serves a customer in a bucket, it creates a missing record or
// adds this VM to the holders. All changes are made by one conditional update.
func (l *Limiter) readObject(ctx context.Context, o int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, object, err := l.getObject(ctx, o)
	if err != nil {
		return err
	}
	records := make(map[int]*record)
	var platformVMs []siskin.VM
	var recordErr error
	changed := false
	for _, i := range l.core.bucketsOf(o) {
		r, err := object.record(i)
		if err != nil {
			recordErr = err // continue with the other buckets
			continue
		}
		records[i] = &r
		customer := l.core.servedCustomer(i)
		if customer == "" || r.holds(l.core.self) {
			continue
		}
		if r.Epoch != 0 {
			r.Holders = append(r.Holders, l.core.self)
		} else {
			if platformVMs == nil {
				if platformVMs, err = l.platform.VMs(ctx); err != nil {
					return err
				}
			}
			r = l.initialRecord(o, customer, platformVMs)
		}
		if err := object.set(i, &r); err != nil {
			return err
		}
		changed = true
	}
	if changed {
		if _, err := l.putObject(ctx, o, &object, version); err != nil {
			return err
		}
	}
	for i, r := range records {
		l.core.apply(l.now(), i, r)
	}
	return recordErr
}

func (l *Limiter) getObject(ctx context.Context, o int) (siskin.Version, object, error) {
	got, err := l.platform.Get(ctx, objectName(o))
	if err != nil || got.Version == 0 {
		return 0, object{}, err
	}
	parsed, err := parseObject(got.Value)
	return got.Version, parsed, err
}

func (l *Limiter) putObject(ctx context.Context, o int, value *object, version siskin.Version) (siskin.Version, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	self := l.core.self
	op := fmt.Sprintf("limit-%s-%d-%d", self.VM, self.Incarnation, l.operations.Add(1))
	return l.platform.Put(ctx, objectName(o), encoded, version, siskin.OperationID(op))
}

// initialRecord grants the units of a new bucket in equal parts to one VM in
// each data centre with VMs that admit requests of the customer, so that each
// of these data centres starts with units and needs no contact with the
// others. It considers the VMs listed by the platform as well as the members,
// since a VM that has just started knows no other member yet.
func (l *Limiter) initialRecord(o int, customer siskin.CustomerID, platformVMs []siskin.VM) record {
	byDC := make(map[siskin.DataCentreID][]siskin.VM)
	for _, vm := range l.candidates(customer, platformVMs) {
		byDC[vm.DataCentre] = append(byDC[vm.DataCentre], vm)
	}
	r := record{Epoch: 1}
	left, parts := siskin.TotalQuotaUnits, siskin.QuotaUnits(len(byDC))
	for _, dc := range sorted(byDC) {
		best, _ := place.Best(string(objectName(o)), byDC[dc])
		units := left / parts
		left, parts = left-units, parts-1
		to := holderID{best.ID, best.Incarnation}
		r.Grants = append(r.Grants, grant{To: to, Rest: units, Full: true})
		r.Holders = append(r.Holders, to)
	}
	if !r.holds(l.core.self) {
		r.Holders = append(r.Holders, l.core.self)
	}
	return r
}

// candidates returns the VMs to which the units of a new bucket may be
// granted.
func (l *Limiter) candidates(customer siskin.CustomerID, platformVMs []siskin.VM) []siskin.VM {
	var live []siskin.VM
	for _, vm := range append(slices.Clone(l.members.Live()), platformVMs...) {
		known, ok := l.members.Lookup(vm.ID)
		if vm.State == siskin.VMLive && (!ok || known.Incarnation <= vm.Incarnation) {
			live = append(live, vm)
		}
	}
	if l.homes != nil {
		if homes := l.homes(customer, live); len(homes) > 0 {
			return homes
		}
	}
	return live
}

// refreshNextObject reads one object with records of which this VM is a
// holder, to learn of holders that joined later. The interval grows with the
// fleet, which limits the platform to 4 such reads a second.
func (l *Limiter) refreshNextObject(ctx context.Context) {
	pause := max(minRefreshInterval, refreshIntervalPerVM*time.Duration(len(l.members.Live())))
	if now := l.clock.Now(); now.Sub(l.refreshedAt) < pause {
		return
	}
	l.refreshedAt = l.clock.Now()
	for range objects {
		l.refreshedObject = (l.refreshedObject + 1) % objects
		for _, i := range l.core.bucketsOf(l.refreshedObject) {
			if len(l.core.holdersOf(i)) > 0 {
				_ = l.readObject(ctx, l.refreshedObject) // on failure the next round continues with another object
				return
			}
		}
	}
}

const (
	minRefreshInterval   = 30 * time.Second
	refreshIntervalPerVM = 250 * time.Millisecond
)
