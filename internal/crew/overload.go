package crew

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lateness"
)

// overload is the state of overload detection. It is guarded by Crew.mu.
type overload struct {
	detector lateness.Detector
	demoter  demoter
	notices  notices
}

// recordStart records that a goroutine started which was created at the given
// time.
func (c *Crew) recordStart(created time.Time) {
	delay := int64(c.cfg.Clock.Since(created))
	for {
		longest := c.startDelay.Load()
		if delay <= longest || c.startDelay.CompareAndSwap(longest, delay) {
			return
		}
	}
}

// updateOverload processes the delay of a timer and the longest delay of a
// goroutine since the last call.
func (c *Crew) updateOverload(now time.Time, timerDelay time.Duration) {
	delay := max(timerDelay, time.Duration(c.startDelay.Swap(0)))
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &c.overload
	if o.detector.Record(now, delay) {
		c.cfg.Log.Warn().Bool("Overloaded", o.detector.Overloaded()).Dur("Lateness", o.detector.Mean()).Msg("overload of this VM changed")
	}
	expected := time.Duration(0)
	if o.detector.Overloaded() {
		expected = o.detector.Mean()
	}
	c.lateness.Store(int64(expected))
	self := c.cfg.Self.vm()
	if o.demoter.update(now, o.detector.State(), newDemotionGroup(self, c.live)) {
		c.cfg.Log.Warn().Int("Demotion", int(o.demoter.demotion)).Dur("Lateness", o.detector.Mean()).Msg("demotion of this VM changed")
		c.liveOutdated = true
	}
	o.notices.announce(now, c.cfg.Self, o.demoter.demotion)
	if o.notices.expire(now) {
		c.liveOutdated = true
	}
	if c.liveOutdated {
		c.updateLive()
	}
}

// learnNotices records notices of a peer. Those about VMs that are not known
// are ignored: they come again, and keep nothing for names that a peer made up.
// The caller holds mu.
func (c *Crew) learnNotices(list []OverloadNotice) {
	now := c.cfg.Clock.Now()
	for _, n := range list[:min(len(list), maxNotices)] {
		if c.members[n.VM] != nil && c.overload.notices.learn(now, n) {
			c.liveOutdated = true
		}
	}
}

// LearnNotices records notices of a peer, and updates the list of live VMs.
func (c *Crew) LearnNotices(list []OverloadNotice) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnNotices(list)
	c.updateLive()
}

// overloadNotices returns the notices to send to a peer.
func (c *Crew) overloadNotices() []OverloadNotice {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overload.notices.list(c.cfg.Clock.Now())
}

// demotedVM returns the description of a member with its demotion. The caller
// holds mu.
func (c *Crew) demotedVM(m *member) siskin.VM {
	vm := m.node.vm()
	vm.Demotion = c.overload.notices.demotion(vm.ID, vm.Incarnation)
	return vm
}

// Lateness returns the expected delay of timers and goroutines while this VM is
// overloaded, or zero.
func (c *Crew) Lateness() time.Duration { return time.Duration(c.lateness.Load()) }

// Demotion returns the demotion of this VM.
func (c *Crew) Demotion() siskin.Demotion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overload.demoter.demotion
}
