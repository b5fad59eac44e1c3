package feed

import (
	"cmp"
	"context"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/quota"
	"siskintray.example/siskin/pkg/place"
)

const (
	// goneDelay is the time after which the slots of a VM that does not answer
	// are given to others. They wait until its right has ended in any case, so a
	// VM that is back before that only loses its slots.
	goneDelay = 30 * time.Second
	// rightsWriteInterval is the least time between two writes of the record by
	// its keeper, which joins the changes of that time.
	rightsWriteInterval = 5 * time.Second
)

// rightsKeeper keeps the record of shares up to date. The live VM with the
// smallest ID does.
type rightsKeeper struct {
	f *Feed
	// live returns the VMs in use, ordered by id, and bounds reports whether a VM
	// is known to bound the use of its share.
	live   func() []siskin.VM
	bounds func(siskin.VMID) bool
	// missing are the holders that are not live, and since when.
	missing map[siskin.VMID]time.Time
	// version is the record that this VM has known since knownSince.
	version    siskin.Version
	knownSince time.Time
	writtenAt  time.Time
	// listedFor is the record of an older copy of the store for which this VM has
	// read the list of all VMs.
	listedFor siskin.Version
}

func (f *Feed) newRightsKeeper() *rightsKeeper {
	return &rightsKeeper{f: f, live: f.cfg.Crew.Live, bounds: f.cfg.Crew.BoundsRights, missing: make(map[siskin.VMID]time.Time)}
}

// update writes the record if it has to change.
func (k *rightsKeeper) update(ctx context.Context, live []siskin.VM) error {
	f, now := k.f, k.f.cfg.Clock.Now()
	r, read := f.cfg.Rights.Rights()
	if r.Version == 0 {
		return nil
	}
	if r.Version != k.version {
		k.version, k.knownSince = r.Version, now
	}
	if era := f.storeEra(); era > r.Era {
		return k.confirm(ctx, &r, read, now)
	}
	list, changed := k.plan(&r, live, now)
	if !changed || now.Sub(k.writtenAt) < rightsWriteInterval {
		return nil
	}
	k.writtenAt = now
	return f.replaceRights(ctx, list, r.Version)
}

// replaceRights writes the record, and reads it if another VM has written it or
// the answer was lost.
func (f *Feed) replaceRights(ctx context.Context, list []quota.Slot, ifVersion siskin.Version) error {
	err := f.writeRights(ctx, list, ifVersion)
	if err == nil {
		f.cfg.Log.Info().Int("Slots", len(list)).Msg("changed the record of share holders")
		return nil
	}
	if readErr := f.readRights(ctx); readErr != nil {
		return readErr
	}
	if siskin.KindOf(err) == siskin.Conflict {
		return nil
	}
	return err
}

// confirm writes the record in a new era of the store, which may have lost its
// latest version. The known record is the latest one if this VM is in contact with
// all others and none knows a later one; otherwise all rights have to end first.
func (k *rightsKeeper) confirm(ctx context.Context, r *quota.Rights, read, now time.Time) error {
	f, version := k.f, r.Version
	if r.Restored() {
		version = 0 // every VM that knows another record knows a later one
		if k.listedFor != r.Version {
			// A VM that has just started may not know all others.
			if _, err := f.readVMs(ctx); err != nil {
				return err
			}
			k.listedFor = r.Version
			return nil
		}
	}
	if !f.cfg.Crew.HasLatestRights(version, read) && now.Sub(k.knownSince) < quota.TakeoverDelay {
		return nil
	}
	o, err := f.cfg.Store.Get(ctx, rightsKind, rightsName)
	switch {
	case siskin.KindOf(err) == siskin.Conflict:
		if _, err := f.cfg.Store.Create(ctx, rightsKind, rightsName, newRightsRecord(r.Slots, f.storeEra())); err != nil {
			return err
		}
		return f.readRights(ctx)
	case err != nil:
		return err
	}
	return f.replaceRights(ctx, r.Slots, o.Version)
}

// plan returns the slots as they should be, and whether they differ from the
// record.
func (k *rightsKeeper) plan(r *quota.Rights, live []siskin.VM, now time.Time) (list []quota.Slot, changed bool) {
	isLive := make(map[siskin.VMID]bool)
	for i := range live {
		isLive[live[i].ID] = true
	}
	for id := range k.missing {
		if isLive[id] {
			delete(k.missing, id)
		}
	}
	next := r.Clone()
	settled := now.Sub(k.knownSince) >= quota.TakeoverDelay
	for i := range next.Slots {
		s := &next.Slots[i]
		if !isLive[s.Holder] && k.missing[s.Holder].IsZero() {
			k.missing[s.Holder] = now
		}
		if len(s.From) > 0 && settled {
			s.From, changed = nil, true
		}
		if !s.Bounded && isLive[s.Holder] && k.bounds(s.Holder) {
			s.Bounded, changed = true, true
		}
		if isLive[s.Holder] || !s.Bounded || now.Sub(k.missing[s.Holder]) < goneDelay {
			continue
		}
		if to, ok := k.receiver(&next, live, len(next.Slots)); ok {
			next.Slots[i] = quota.Slot{Holder: to, From: append(slices.Clone(s.From), s.Holder), Bounded: true}
			changed = true
		}
	}
	return next.Slots, changed
}

// receiver returns the VM to give a slot to: the one with the fewest slots, and
// fewer than limit, that bounds the use of its share.
func (k *rightsKeeper) receiver(r *quota.Rights, live []siskin.VM, limit int) (siskin.VMID, bool) {
	candidates := slices.DeleteFunc(slices.Clone(live), func(vm siskin.VM) bool {
		return r.Count(vm.ID) >= limit || !k.bounds(vm.ID)
	})
	if len(candidates) == 0 {
		return "", false
	}
	return slices.MinFunc(candidates, func(a, b siskin.VM) int {
		return cmp.Or(cmp.Compare(r.Count(a.ID), r.Count(b.ID)), cmp.Compare(place.Tier(b.Capacity), place.Tier(a.Capacity)),
			cmp.Compare(place.Score("holders", b.ID), place.Score("holders", a.ID)))
	}).ID, true
}

// GiveUpRights gives the slots of this VM to VMs without any, before a planned
// stop. It keeps them if there is no such VM, so that a VM that only restarts has
// them again. It returns when the record no longer names this VM or ctx ends.
func (f *Feed) GiveUpRights(ctx context.Context) { f.newRightsKeeper().giveUp(ctx) }

// giveUp is GiveUpRights.
func (k *rightsKeeper) giveUp(ctx context.Context) {
	f := k.f
	givenUp, backoff := false, pollInterval
	self := f.cfg.Crew.Self().ID
	for ; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		r, _ := f.cfg.Rights.Rights()
		list, changed := k.handOver(&r, self)
		if !changed {
			break
		}
		if !givenUp {
			// From here on the record may name another VM at any time, also if
			// the answer to the write is lost.
			f.cfg.Rights.GiveUp()
			givenUp = true
		}
		if err := f.replaceRights(ctx, list, r.Version); err != nil && ctx.Err() == nil {
			f.recordFailure(string(rightsKind), err)
			sleep(ctx, backoff)
		}
	}
	if !givenUp || ctx.Err() != nil {
		return
	}
	f.cfg.Log.Info().Msg("gave up the share of rates")
	// The loans of this VM end meanwhile, and the next holders may use the slots
	// in a later run without waiting for this VM.
	sleep(ctx, quota.LoanDuration)
	for ctx.Err() == nil {
		r, _ := f.cfg.Rights.Rights()
		changed := false
		for i := range r.Slots {
			if s := &r.Slots[i]; len(s.From) == 1 && s.From[0] == self {
				s.From, changed = nil, true
			}
		}
		if !changed || f.replaceRights(ctx, r.Slots, r.Version) == nil && !f.isFormerHolder(self) {
			return
		}
		sleep(ctx, pollInterval)
	}
}

// handOver returns the slots after this VM has given its own to VMs without any,
// and whether it has given any.
func (k *rightsKeeper) handOver(r *quota.Rights, self siskin.VMID) (list []quota.Slot, changed bool) {
	next := r.Clone()
	live := k.live()
	for i := range next.Slots {
		s := &next.Slots[i]
		if s.Holder != self {
			continue
		}
		if to, ok := k.receiver(&next, live, 1); ok {
			next.Slots[i] = quota.Slot{Holder: to, From: append(slices.Clone(s.From), self), Bounded: true}
			changed = true
		}
	}
	return next.Slots, changed
}

// isFormerHolder reports whether the known record names a VM as the only former
// holder of a slot.
func (f *Feed) isFormerHolder(id siskin.VMID) bool {
	r, _ := f.cfg.Rights.Rights()
	return slices.ContainsFunc(r.Slots, func(s quota.Slot) bool { return len(s.From) == 1 && s.From[0] == id })
}
