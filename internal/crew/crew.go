package crew

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/quota"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
	"siskintray.example/siskin/internal/views"
)

// Config holds what a Crew depends on.
type Config struct {
	Clock  siskin.Clock
	Self   Node
	Seeds  []string
	Peers  siskin.Peers
	Table  *table.Table
	Roster *roster.Roster
	Views  *views.Views
	Homes  *home.Homes
	// Apply puts an encoded configuration in force.
	Apply func(encoded []byte, source string)
	Log   *log.Logger
	// IsHome reports whether this VM is the home of a target.
	IsHome func(siskin.TargetID) bool
	// Close returns the VMs that this one depends on, such as the homes of
	// primaries. In a large fleet only they are pinged in each interval.
	Close func() map[siskin.VMID]bool
}

// Crew is one VM's view of the fleet. It implements siskin.Members.
type Crew struct {
	cfg     Config
	rates   *quota.Limiter
	leaving atomic.Bool
	stop    chan struct{}
	done    sync.WaitGroup

	mu      sync.Mutex
	members map[siskin.VMID]*member // without this VM
	live    []siskin.VM
	changed chan struct{}
	seeded  time.Time
	// incomplete says that a peer knows more VMs than this one.
	incomplete bool
	near       map[siskin.VMID]bool // VMs that this one depends on
	chosen     time.Time            // last time that peers were sorted
	round      int                  // number of times
}

var _ siskin.Members = (*Crew)(nil)

// New returns a Crew that knows only this VM. Start begins to ping.
func New(cfg Config) *Crew {
	c := &Crew{cfg: cfg, stop: make(chan struct{}), members: make(map[siskin.VMID]*member), changed: make(chan struct{})}
	c.live = []siskin.VM{cfg.Self.vm()}
	return c
}

// Start begins to ping. The limiter takes part in the pings.
func (c *Crew) Start(rates *quota.Limiter) {
	c.rates = rates
	c.done.Go(c.loop)
}

// Close stops pinging and waits.
func (c *Crew) Close() error {
	close(c.stop)
	c.done.Wait()
	return nil
}

// Leave tells the peers to give this VM no further work.
func (c *Crew) Leave() {
	c.leaving.Store(true)
	c.rates.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		m.next = time.Time{}
	}
	c.publish()
}

// Self implements siskin.Members.
func (c *Crew) Self() siskin.VM { return c.cfg.Self.vm() }

// Live implements siskin.Members.
func (c *Crew) Live() []siskin.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.live
}

// Lookup implements siskin.Members.
func (c *Crew) Lookup(id siskin.VMID) (siskin.VM, bool) {
	if id == c.cfg.Self.ID {
		return c.Self(), true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[id]
	if !ok {
		return siskin.VM{}, false
	}
	vm := m.node.vm()
	if !m.alive(c.cfg.Clock.Now()) {
		vm.State = siskin.VMSuspect
	}
	return vm, true
}

// Address returns the peer address of a VM.
func (c *Crew) Address(id siskin.VMID) (string, bool) {
	vm, ok := c.Lookup(id)
	return vm.PeerAddress, ok
}

// Changed implements siskin.Members.
func (c *Crew) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Learn takes over the description of a VM. The newest run of a VM holds.
func (c *Crew) Learn(n Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learn(n)
}

func (c *Crew) learn(n Node) {
	if n.ID == "" || n.ID == c.cfg.Self.ID || n.Address == "" {
		return
	}
	m := c.members[n.ID]
	switch {
	case m == nil:
		c.members[n.ID] = &member{node: n, known: c.cfg.Clock.Now()}
	case n.Run > m.node.Run:
		c.members[n.ID] = &member{node: n, known: c.cfg.Clock.Now()}
		c.publish()
	}
}

// Nodes returns all VMs known, this one included.
func (c *Crew) Nodes() []Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes()
}

func (c *Crew) nodes() []Node {
	nodes := []Node{c.cfg.Self}
	for _, m := range c.members {
		nodes = append(nodes, m.node)
	}
	return nodes
}

// publish derives the list of live VMs.
func (c *Crew) publish() {
	now := c.cfg.Clock.Now()
	var live []siskin.VM
	if !c.leaving.Load() {
		live = append(live, c.cfg.Self.vm())
	}
	for _, m := range c.members {
		if m.alive(now) && !m.leaving {
			live = append(live, m.node.vm())
		}
	}
	slices.SortFunc(live, func(a, b siskin.VM) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(live, c.live) {
		return
	}
	c.live = live
	close(c.changed)
	c.changed = make(chan struct{})
}

// tick is the resolution of the ping schedule.
const tick = 50 * time.Millisecond

func (c *Crew) loop() {
	for {
		select {
		case <-c.stop:
			return
		case <-c.cfg.Clock.After(tick):
		}
		c.rates.LendSelf()
		near := c.cfg.Close()
		c.mu.Lock()
		c.near = near
		c.mu.Unlock()
		c.schedule()
	}
}

// schedule starts the pings that are due.
func (c *Crew) schedule() {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.chosen) >= pingInterval {
		c.chosen = now
		c.choose(now)
	}
	for id, m := range c.members {
		if m.pinging || now.Before(m.next) {
			continue
		}
		m.pinging, m.next = true, now.Add(m.interval(now))
		if m.distant && !m.failed && !m.suspect {
			m.next = now.Add(time.Hour) // until its turn
		}
		c.done.Go(func() { c.ping(id) })
	}
	c.publish()
	if len(c.live) < 2 && now.Sub(c.seeded) > pingInterval {
		c.seeded = now
		for _, address := range c.cfg.Seeds {
			if address != c.cfg.Self.Address {
				c.done.Go(func() { c.ping(siskin.AddressID(address)) })
			}
		}
	}
}

// choose sorts the peers of a large fleet into close and distant ones, and picks
// the distant ones whose turn it is. The caller holds mu.
func (c *Crew) choose(now time.Time) {
	var near map[siskin.VMID]bool
	if len(c.members) >= fullMesh {
		near = c.near
	}
	var distant []*member
	for id, m := range c.members {
		was := m.distant
		m.distant = near != nil && !near[id] && !m.heard.IsZero()
		if was && !m.distant {
			m.next = now
		}
		if m.distant && !m.pinging {
			distant = append(distant, m)
		}
	}
	slices.SortFunc(distant, func(a, b *member) int { return a.heard.Compare(b.heard) })
	// Traffic between data centres is dear, so only some pings cross.
	c.round++
	for _, m := range distant {
		local := m.node.DataCentre == c.cfg.Self.DataCentre
		if local != (c.round%farEvery == 0) {
			m.next = now
			return
		}
	}
}

// ping exchanges states with one peer.
func (c *Crew) ping(id siskin.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	asked := c.cfg.Clock.Now()
	args := c.question()
	args.WantNodes = c.wantsNodes(id)
	args.Loans = c.rates.Loans(id)
	var reply State
	err := c.cfg.Peers.Call(ctx, id, "Crew.Ping", args, &reply)
	c.mu.Lock()
	if m := c.members[id]; m != nil {
		m.pinging, m.failed = false, err != nil
	}
	if err != nil {
		c.publish()
		c.mu.Unlock()
		return
	}
	for _, n := range reply.Nodes {
		c.learn(n)
	}
	c.incomplete = reply.Known > len(c.members)+1
	c.learn(reply.From)
	if m := c.members[reply.From.ID]; m != nil {
		if m.suspect || m.heard.IsZero() {
			c.cfg.Log.Info().Str("VM", string(reply.From.ID)).Uint64("Run", uint64(reply.From.Run)).Msg("contact to a VM")
		}
		m.heard, m.suspect, m.leaving = asked, false, reply.Leaving
	}
	c.publish()
	c.mu.Unlock()
	if reply.Released {
		c.rates.Returned(reply.From.ID)
	} else {
		c.rates.Received(reply.From.ID, reply.Stamp)
	}
	c.absorb(&reply, asked)
}

// wantsNodes reports whether the peer should name the VMs that it knows: this
// VM asks a seed, or a peer knows more than it does.
func (c *Crew) wantsNodes(id siskin.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	return m == nil || c.incomplete || len(c.members) < 2 && m.heard.IsZero()
}

// absorb takes over what a peer said; asked is the moment before the question.
func (c *Crew) absorb(s *State, asked time.Time) {
	for _, l := range s.Leads {
		c.cfg.Views.Proven(l.Service, views.Lead{Target: l.Target, Position: l.Position, At: asked.Add(-l.Age)})
	}
	for id, n := range s.Waiting {
		c.cfg.Views.Load(id, n)
	}
	c.catchUp(s, asked)
}
