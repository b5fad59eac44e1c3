package crew

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// noticeInterval is the time between two notices of a demoted VM.
	noticeInterval = 2 * time.Second
	// noticeTTL is the time for which a notice is valid and passed on. It spans
	// several notices, so that a VM does not return at some VMs only because a
	// notice was late there.
	noticeTTL = 5 * noticeInterval
	// maxNotices limits the notices in one message.
	maxNotices = 64
)

// notices holds the latest notice of each VM. The latest notice is kept after
// it has expired, so that an earlier one from a third VM does not replace it.
type notices struct {
	own   OverloadNotice
	ownAt time.Time
	held  map[siskin.VMID]*heldNotice
}

type heldNotice struct {
	OverloadNotice
	at      time.Time // when the notice was received
	expired bool
}

// announce replaces the notice of this VM after a change of its demotion, and
// repeats it every noticeInterval while the VM is demoted.
func (n *notices) announce(now time.Time, self Node, d siskin.Demotion) {
	if d == n.own.Demotion && (d == siskin.NotDemoted || now.Sub(n.ownAt) < noticeInterval) {
		return
	}
	n.own = OverloadNotice{VM: self.ID, Run: self.Run, Number: n.own.Number + 1, Demotion: d}
	n.ownAt = now
}

// learn records a notice of another VM, and reports whether the demotion of
// that VM changed.
func (n *notices) learn(now time.Time, notice OverloadNotice) bool {
	h := n.held[notice.VM]
	if h != nil && !notice.newerThan(&h.OverloadNotice) {
		return false
	}
	notice.Demotion = min(max(notice.Demotion, siskin.NotDemoted), siskin.FullyDemoted)
	changed := notice.Demotion != n.demotion(notice.VM, notice.Run)
	if n.held == nil {
		n.held = make(map[siskin.VMID]*heldNotice)
	}
	n.held[notice.VM] = &heldNotice{OverloadNotice: notice, at: now}
	return changed
}

// expire drops the demotions that have not been announced for noticeTTL, and
// reports whether there were any.
func (n *notices) expire(now time.Time) (changed bool) {
	for _, h := range n.held {
		if !h.expired && now.Sub(h.at) >= noticeTTL {
			h.expired = true
			changed = changed || h.Demotion != siskin.NotDemoted
		}
	}
	return changed
}

// demotion returns the demotion of a run of another VM.
func (n *notices) demotion(id siskin.VMID, run siskin.Incarnation) siskin.Demotion {
	if h := n.held[id]; h != nil && h.Run == run && !h.expired {
		return h.Demotion
	}
	return siskin.NotDemoted
}

// list returns the notices to send. The notice that a demotion has ended is
// sent for noticeTTL.
func (n *notices) list(now time.Time) []OverloadNotice {
	var list []OverloadNotice
	if n.own.Number > 0 && (n.own.Demotion != siskin.NotDemoted || now.Sub(n.ownAt) < noticeTTL) {
		list = append(list, n.own)
	}
	for _, h := range n.held {
		if !h.expired && len(list) < maxNotices {
			list = append(list, h.OverloadNotice)
		}
	}
	return list
}
