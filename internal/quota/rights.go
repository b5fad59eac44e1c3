package quota

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// RightsDuration is the time for which a VM may spend its share after a
	// moment at which the record was known to name it. Most cuts of a network are
	// much shorter.
	RightsDuration = 2 * time.Minute
	// TakeoverDelay is the time after which a VM that learns that it holds a
	// share may spend it although the former holder may not know that. It exceeds
	// RightsDuration because the rates of two clocks may differ, and by the
	// duration of the last loan.
	TakeoverDelay = RightsDuration + RightsDuration/10
)

// awareness is the newest version of the record that a VM is known to know.
type awareness struct {
	version siskin.Version
	since   time.Time
}

// heldSlot is the state of a slot of this VM.
type heldSlot struct {
	// since is the version of the record in which this VM first saw that it holds
	// the slot, or holds it again.
	since siskin.Version
	// usableAt is the time from which it may spend the share.
	usableAt time.Time
}

// rightsState is what a Limiter knows of the record.
type rightsState struct {
	known Rights
	// read is a time at which the store had known as the latest record, and
	// contact one at which no other VM knew a later one.
	read, contact time.Time
	held          map[int]heldSlot // by the index of the slot
	aware         map[siskin.VMID]awareness
	// givenUp is set once this VM has stopped to spend its share for good.
	givenUp bool
}

// latest returns the last time at which the known record was the latest one.
func (s *rightsState) latest() time.Time {
	if s.contact.After(s.read) {
		return s.contact
	}
	return s.read
}

// SetRights applies a record that the store had as the latest one at the given
// time. An older one than the known record, or one from an older copy of the
// store, is ignored.
func (l *Limiter) SetRights(r Rights, read time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := &l.rights, l.cfg.Clock.Now()
	old := &s.known
	switch {
	case r.Version == 0, r.Restored() && old.Version != 0 && !old.Restored():
		return
	case r.Version == old.Version:
		l.confirmRights(r.Version, read)
		return
	case r.Version < old.Version && (r.Restored() || !old.Restored()):
		return
	}
	l.refreshShare(now)
	first := old.Version == 0 || old.Restored()
	s.held = l.heldSlots(&r, first, now)
	s.known, s.read = r, read
	if first {
		// The share has been this VM's since its start, and it spent none of it.
		l.shareSince = l.started
		for _, p := range l.localBuckets {
			p.at = l.started
		}
		l.share = l.usableShare(now)
	}
	l.refreshShare(now)
	l.cfg.Log.Info().Int("Slots", len(r.Slots)).Int("Own", len(s.held)).Float64("Share", l.share).Uint64("Version", uint64(r.Version)).Msg("shares of rates are known")
}

// heldSlots returns the slots that this VM holds in a record. first is set for
// the first record that it knows. The caller holds mu.
func (l *Limiter) heldSlots(r *Rights, first bool, now time.Time) map[int]heldSlot {
	held := make(map[int]heldSlot)
	for i := range r.Slots {
		slot := &r.Slots[i]
		if slot.Holder != l.cfg.Members.Self().ID {
			continue
		}
		h, ok := l.rights.held[i]
		ok = ok && now.Sub(l.rights.latest()) < RightsDuration && slot.continues(&l.rights.known.Slots[i])
		if !ok {
			h = heldSlot{since: r.Version, usableAt: now.Add(TakeoverDelay)}
		}
		if len(slot.From) == 0 && !r.Restored() {
			usableAt := now
			if !first && !ok {
				// The former holder may have lent the share just before.
				usableAt = now.Add(LoanDuration)
			}
			if usableAt.Before(h.usableAt) {
				h.usableAt = usableAt
			}
		}
		held[i] = h
	}
	return held
}

// ConfirmRights records that the store had the known record, if it is of the
// given version, as the latest one at the given time.
func (l *Limiter) ConfirmRights(version siskin.Version, read time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmRights(version, read)
}

// confirmRights is ConfirmRights for a caller that holds mu.
func (l *Limiter) confirmRights(version siskin.Version, read time.Time) {
	if s := &l.rights; version == s.known.Version && read.After(s.read) {
		l.refreshShare(l.cfg.Clock.Now())
		s.read = read
	}
}

// RecordContact records that no other VM knew a later record than the one of the
// given version at the given time.
func (l *Limiter) RecordContact(version siskin.Version, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := &l.rights; version == s.known.Version && at.After(s.contact) {
		l.refreshShare(l.cfg.Clock.Now())
		s.contact = at
	}
}

// RecordAware records that a VM knows a version of the record at the given time.
func (l *Limiter) RecordAware(id siskin.VMID, version siskin.Version, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.rights.aware[id].version {
		l.rights.aware[id] = awareness{version, now}
	}
}

// GiveUp makes this VM spend and lend nothing of its share any more.
func (l *Limiter) GiveUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rights.givenUp = true
	l.refreshShare(l.cfg.Clock.Now())
}

// RightsVersion returns the version of the known record, and a time at which the
// store had it as the latest one. The version is zero if none is known, or one of
// an older copy of the store.
func (l *Limiter) RightsVersion() (version siskin.Version, read time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rights.known.Restored() {
		return 0, time.Time{}
	}
	return l.rights.known.Version, l.rights.read
}

// Rights returns the known record, and a time at which the store had it as the
// latest one.
func (l *Limiter) Rights() (r Rights, read time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rights.known.Clone(), l.rights.read
}

// Holders returns the VMs that hold a share, or nil while they are not known.
func (l *Limiter) Holders() []siskin.VMID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []siskin.VMID
	for i := range l.rights.known.Slots {
		ids = append(ids, l.rights.known.Slots[i].Holder)
	}
	return ids
}

// NeedsRead reports whether this VM has to read the record itself before it may
// spend its share: an earlier run of it may have given the share away, and what
// the peers know is older than this run.
func (l *Limiter) NeedsRead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.rights.held) > 0 && l.rights.read.Before(l.started)
}

// usableShare returns the share that this VM may spend at the given time. The
// caller holds mu.
func (l *Limiter) usableShare(now time.Time) float64 {
	s := &l.rights
	if len(s.held) == 0 || s.givenUp || s.read.Before(l.started) || now.Sub(s.latest()) >= RightsDuration {
		return 0
	}
	n := 0
	for i, h := range s.held {
		if !now.Before(h.usableAt) || l.formerHoldersKnow(s.known.Slots[i].From, h.since, now) {
			n++
		}
	}
	return float64(n) / float64(len(s.known.Slots))
}

// formerHoldersKnow reports whether the former holders of a slot have known for
// the duration of a loan that it was given to this VM. The caller holds mu.
func (l *Limiter) formerHoldersKnow(from []siskin.VMID, version siskin.Version, now time.Time) bool {
	for _, id := range from {
		if id == l.cfg.Members.Self().ID {
			continue // it held the slot before
		}
		if a, ok := l.rights.aware[id]; !ok || a.version < version || now.Sub(a.since) < LoanDuration {
			return false
		}
	}
	return len(from) > 0
}

// refreshShare applies the share that this VM may spend at the given time. Until
// then the buckets earn at the former one. The caller holds mu.
func (l *Limiter) refreshShare(now time.Time) {
	share := l.usableShare(now)
	if share == l.share {
		return
	}
	for id, p := range l.localBuckets {
		if rate, burst, ok := l.limits(id); ok {
			l.accrue(p, now, rate, burst)
		}
	}
	l.share, l.shareSince = share, now
}
