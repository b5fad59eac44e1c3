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

// core takes the decisions of one VM's membership.
type core struct {
	cfg     Config
	rng     *rand.Rand
	self    Record
	members map[siskin.VMID]*member // without self
	rings   *rings
	news    *news
	hash    uint32
	cursor  siskin.VMID // last member sent in a page

	ring      int       // ring of the next probe
	nextProbe time.Time // time of the next probe
	nextDead  time.Time // time of the next probe of a dead member
	lastPush  time.Time
	pushDue   bool
	contested []siskin.VMID // dead members that others hold to be running
	doubted   []siskin.VMID // running members that a peer did not list after a pause

	touched    []siskin.VMID // members whose published state is out of date
	suspended  time.Time     // until then this VM does not judge others
	quiet      bool          // records that are accepted now are no news
	superseded bool          // another run of this VM exists, or it is gone
}

// member is what the core knows of another VM.
type member struct {
	Record
	since    time.Time // last change of the state
	silent   bool      // this VM itself found the member silent
	differed time.Time // when its hash began to differ; zero while it is the same
	differs  time.Time // when it was last seen to differ
	hash     uint32    // last one heard
	listed   time.Time // last page that named the member as running
}

func newCore(cfg Config, now time.Time) *core {
	c := &core{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.RandomSeed, uint64(cfg.Self.Incarnation))),
		self:    Record{ID: cfg.Self.ID, Incarnation: cfg.Self.Incarnation, State: siskin.VMLive, DataCentre: cfg.Self.DataCentre, Address: cfg.Self.PeerAddress, Forward: cfg.Self.ForwardAddress},
		members: make(map[siskin.VMID]*member), news: newNews(),
	}
	c.rings = newRings(c.self.ID)
	c.nextProbe = now.Add(time.Duration(c.rng.Int64N(int64(cfg.ProbeInterval))))
	c.nextDead = now.Add(time.Duration(c.rng.Int64N(int64(cfg.DeadProbeInterval))))
	c.hash ^= recordHash(c.self)
	c.touch(c.self.ID)
	c.announce(c.self)
	return c
}

// announce queues a record for the others and a push.
func (c *core) announce(r Record) {
	if c.quiet && r.ID != c.self.ID {
		return
	}
	c.news.add(r)
	c.pushDue = true
}

// accept merges a record of another VM or of self into the view.
func (c *core) accept(now time.Time, r Record) {
	if !r.valid() {
		return
	}
	if r.ID == c.self.ID {
		c.hearOfSelf(r)
		return
	}
	m, known := c.members[r.ID]
	if !known {
		if r.Address == "" || !r.up() && r.State != siskin.VMGone {
			return // nothing to reach it by, or dead before it was known
		}
		c.members[r.ID] = &member{Record: r, since: now}
		c.hash ^= recordHash(r)
		c.rings.set(r.ID, r.up())
		c.touch(r.ID)
		c.announce(r)
		return
	}
	merged := m.merge(r)
	if merged == m.Record {
		return
	}
	c.replace(now, m, merged)
}

// replace sets the record of a known member and spreads the change.
func (c *core) replace(now time.Time, m *member, r Record) {
	old := m.Record
	incarnationNeverReverts.Check(r.order(old) >= 0, "%s: %d.%d after %d.%d", r.ID, r.Incarnation, r.Refutations, old.Incarnation, old.Refutations)
	goneIsFinal.Check(old.State != siskin.VMGone || r.State == siskin.VMGone || r.Incarnation > old.Incarnation, "%s is %v after it was gone", r.ID, r.State)
	c.hash ^= recordHash(old) ^ recordHash(r)
	if r.State != old.State || r.order(old) != 0 {
		m.since, m.silent = now, false
	}
	m.Record = r
	if r.up() != old.up() {
		c.rings.set(r.ID, r.up())
	}
	c.touch(r.ID)
	c.announce(r)
}

// touch marks a member whose published state is out of date.
func (c *core) touch(id siskin.VMID) { c.touched = append(c.touched, id) }

// hearOfSelf handles what others hold of this VM.
func (c *core) hearOfSelf(r Record) {
	switch {
	case r.Incarnation > c.self.Incarnation || r.State == siskin.VMGone && r.Incarnation == c.self.Incarnation:
		if !c.superseded {
			c.superseded = true
			c.touch(c.self.ID)
		}
	case r.Incarnation == c.self.Incarnation && !c.superseded && c.self.State == siskin.VMLive:
		if r.Leaving {
			c.leave() // the platform says so
		}
		if r.Refutations > c.self.Refutations || r.Refutations == c.self.Refutations && r.State != siskin.VMLive {
			c.refute(r.Refutations)
		}
	}
}

// refute answers a suspicion with a count above seen.
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
	c.touch(c.self.ID)
	c.announce(c.self)
}

// stop marks this VM as dead, so that the others need not find out.
func (c *core) stop() {
	c.self.State = siskin.VMDead
	c.announce(c.self)
}
