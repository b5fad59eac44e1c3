package member

import (
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
)

var (
	incarnationNeverReverts = invar.New("MemberIncarnationNeverReverts")
	goneIsFinal             = invar.New("MemberGoneIsFinal")
)

// core makes the membership decisions of one VM.
type core struct {
	cfg         Config
	rng         *rand.Rand
	self        Record
	members     map[siskin.VMID]*member // without self
	rings       *rings
	updateQueue *updateQueue
	hash        uint32
	cursor      siskin.VMID // last member sent in a page

	ring          int       // ring of the next probe
	nextProbe     time.Time // time of the next probe
	nextDeadProbe time.Time // time of the next probe of a dead member
	lastPush      time.Time
	pushDue       bool
	disputed      []siskin.VMID // dead members that other VMs list as running
	unconfirmed   []siskin.VMID // running members that a peer did not list after a pause

	unpublished     []siskin.VMID // members whose published state is out of date
	suspendedUntil  time.Time     // until then failed probes are ignored
	suppressUpdates bool          // accepted records are not queued as updates
	superseded      bool          // a later run of this VM exists, or it is gone
}

// member is what the core knows about another VM.
type member struct {
	Record
	stateSince   time.Time // last change of the state
	probeFailed  bool      // a probe by this VM and its helpers failed
	differsSince time.Time // when its hash began to differ; zero while it does not
	lastDiffered time.Time // time of the latest message with a different hash
	hash         uint32    // hash in that message
	lastListed   time.Time // time of the latest page with the member
}

func newCore(cfg Config, now time.Time) *core {
	c := &core{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.RandomSeed, uint64(cfg.Self.Incarnation))),
		self:    Record{ID: cfg.Self.ID, Incarnation: cfg.Self.Incarnation, State: siskin.VMLive, DataCentre: cfg.Self.DataCentre, Address: cfg.Self.PeerAddress, Forward: cfg.Self.ForwardAddress},
		members: make(map[siskin.VMID]*member), updateQueue: newUpdateQueue(),
	}
	c.rings = newRings(c.self.ID)
	c.nextProbe = now.Add(time.Duration(c.rng.Int64N(int64(cfg.ProbeInterval))))
	c.nextDeadProbe = now.Add(time.Duration(c.rng.Int64N(int64(cfg.DeadProbeInterval))))
	c.hash ^= recordHash(c.self)
	c.markUnpublished(c.self.ID)
	c.announce(c.self)
	return c
}

// announce queues a record as an update for the others and schedules a push.
func (c *core) announce(r Record) {
	if c.suppressUpdates && r.ID != c.self.ID {
		return
	}
	c.updateQueue.add(r)
	c.pushDue = true
}

// accept merges a record of another VM or of self into the view.
func (c *core) accept(now time.Time, r Record) {
	if !r.valid() {
		return
	}
	if r.ID == c.self.ID {
		c.acceptOwnRecord(r)
		return
	}
	m, known := c.members[r.ID]
	if !known {
		if r.Address == "" || !r.up() && r.State != siskin.VMGone {
			return // it has no address, or was dead before it became known
		}
		c.members[r.ID] = &member{Record: r, stateSince: now}
		c.hash ^= recordHash(r)
		c.rings.set(r.ID, r.up())
		c.markUnpublished(r.ID)
		c.announce(r)
		return
	}
	merged := m.merge(r)
	if merged == m.Record {
		return
	}
	c.replace(now, m, merged)
}

// replace sets the record of a known member and propagates the change.
func (c *core) replace(now time.Time, m *member, r Record) {
	old := m.Record
	incarnationNeverReverts.Check(r.compare(old) >= 0, "%s: %d.%d after %d.%d", r.ID, r.Incarnation, r.Refutations, old.Incarnation, old.Refutations)
	goneIsFinal.Check(old.State != siskin.VMGone || r.State == siskin.VMGone || r.Incarnation > old.Incarnation, "%s is %v after it was gone", r.ID, r.State)
	c.hash ^= recordHash(old) ^ recordHash(r)
	if r.State != old.State || r.compare(old) != 0 {
		m.stateSince, m.probeFailed = now, false
	}
	m.Record = r
	if r.up() != old.up() {
		c.rings.set(r.ID, r.up())
	}
	c.markUnpublished(r.ID)
	c.announce(r)
}

// markUnpublished records that a member's published state is out of date.
func (c *core) markUnpublished(id siskin.VMID) { c.unpublished = append(c.unpublished, id) }

// acceptOwnRecord handles a record of this VM that another VM sent.
func (c *core) acceptOwnRecord(r Record) {
	switch {
	case r.Incarnation > c.self.Incarnation || r.State == siskin.VMGone && r.Incarnation == c.self.Incarnation:
		if !c.superseded {
			c.superseded = true
			c.markUnpublished(c.self.ID)
		}
	case r.Incarnation == c.self.Incarnation && !c.superseded && c.self.State == siskin.VMLive:
		if r.Leaving {
			c.leave() // the platform lists this VM as leaving
		}
		if r.Refutations > c.self.Refutations || r.Refutations == c.self.Refutations && r.State != siskin.VMLive {
			c.refute(r.Refutations)
		}
	}
}

// refute refutes a suspicion with a refutation count above seen.
func (c *core) refute(seen uint64) {
	c.self.Refutations = max(c.self.Refutations, seen) + 1
	c.announce(c.self)
}

// leave marks this VM as leaving.
func (c *core) leave() {
	if c.self.Leaving {
		return
	}
	c.hash ^= recordHash(c.self)
	c.self.Leaving = true
	c.hash ^= recordHash(c.self)
	c.markUnpublished(c.self.ID)
	c.announce(c.self)
}

// stop marks this VM as dead, so that the others need not detect it by probes.
func (c *core) stop() {
	c.self.State = siskin.VMDead
	c.announce(c.self)
}
