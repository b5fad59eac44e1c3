package main

import (
	"fmt"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

// groupOptions describes a service. The first target is the primary.
type groupOptions struct {
	service string
	targets []targetOptions
	// slots is the number of statements that a target runs at once, and work
	// the time that each one takes.
	slots    int
	work     time.Duration
	maxConns int
	sync     int
	// promotion is the time from an accepted order to the promotion.
	promotion time.Duration
}

type targetOptions struct {
	zone string
	// lag is the time from receiving a commit to applying it.
	lag time.Duration
}

// commit is one record of a log.
type commit struct {
	pos        siskin.Position
	changes    []change
	receivedAt time.Time
}

type change struct{ item, data string }

// group is a service with replication. Its lock guards all its targets.
type group struct {
	rec       *recorder
	store     *stand.Platform
	service   string
	slots     int
	work      time.Duration
	maxConns  int
	sync      int
	promotion time.Duration
	targets   []*target
	wg        sync.WaitGroup

	mu    sync.Mutex
	cond  *sync.Cond
	fence uint64
}

// uptime is how long the targets have run when the fleet starts.
const uptime = time.Hour

func startGroup(rec *recorder, store *stand.Platform, o groupOptions) (*group, error) {
	g := &group{
		rec: rec, store: store, service: o.service, slots: o.slots, work: o.work, maxConns: o.maxConns, sync: o.sync, promotion: o.promotion,
	}
	g.cond = sync.NewCond(&g.mu)
	for i, to := range o.targets {
		t, err := g.add(to, time.Now().Add(-uptime))
		if err != nil {
			return nil, err
		}
		t.primary, t.term = i == 0, 1
	}
	g.publish()
	return g, nil
}

// add starts a target. It is a replica with an empty log.
func (g *group) add(o targetOptions, born time.Time) (*target, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &target{
		g: g, id: fmt.Sprintf("i-%s-%d", g.service, len(g.targets)+1), zone: o.zone, lag: o.lag, slots: make(chan struct{}, g.slots), born: born,
	}
	if err := t.listen(""); err != nil {
		return nil, err
	}
	g.targets = append(g.targets, t)
	g.replicate()
	return t, nil
}

// leave ends a target for good.
func (g *group) leave(t *target) {
	g.rec.logf("target %s has left", t.id)
	g.mu.Lock()
	t.left = true
	g.mu.Unlock()
	t.close()
	g.store.Delete("servers", t.id)
}

// crash ends a target's process. Its log is kept.
func (g *group) crash(t *target) {
	g.rec.logf("target %s crashes", t.id)
	g.mu.Lock()
	t.left = true
	g.cond.Broadcast()
	g.mu.Unlock()
	t.close()
}

// restart starts a crashed target again, with its log.
func (g *group) restart(t *target) error {
	g.rec.logf("target %s starts again", t.id)
	g.mu.Lock()
	t.left, t.held, t.born = false, 0, time.Now()
	err := t.listen(t.address)
	g.replicate()
	g.mu.Unlock()
	g.publish()
	return err
}

// publish writes the targets' entries of service discovery.
func (g *group) publish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if t.left {
			continue
		}
		role, state := "replica", "ready"
		if t.primary {
			role = "primary"
		}
		if t.draining {
			state = "draining"
		}
		g.store.Put("servers", t.id, map[string]any{
			"service": g.service, "addr": t.address, "zone": t.zone, "version": "v1", "slots": g.slots, "state": state,
			"cold_left_ms": 0, "db_role": role, "seq": 1, "born": t.born.UnixMilli(),
		})
	}
}

// drain makes a target report that it is about to leave.
func (g *group) drain(t *target) {
	g.mu.Lock()
	t.draining = true
	g.mu.Unlock()
	g.rec.logf("target %s reports that it is draining", t.id)
	g.publish()
}

// setDeaf makes a replica receive nothing, or receive again.
func (g *group) setDeaf(t *target, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.deaf = on
	g.rec.logf("target %s receives nothing: %v", t.id, on)
	g.replicate()
}

// primaryTarget returns the present primary, or nil.
func (g *group) primaryTarget() *target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader()
}

func (g *group) leader() *target {
	for _, t := range g.targets {
		if t.primary {
			return t
		}
	}
	return nil
}

// replicate brings the replicas that receive up to date. The caller holds mu.
func (g *group) replicate() {
	p := g.leader()
	defer g.cond.Broadcast()
	if p == nil || p.left {
		return
	}
	for _, t := range g.targets {
		if t.primary || t.deaf || t.left || t.held > p.term || t.term > p.term {
			continue
		}
		n := 0
		for n < len(t.log) && n < len(p.log) && t.log[n].pos == p.log[n].pos {
			n++
		}
		t.log = t.log[:n:n]
		for _, c := range p.log[n:] {
			c.receivedAt = time.Now()
			t.log = append(t.log, c)
		}
		t.term = p.term
	}
}

// commit appends a record at the primary and waits until enough replicas have
// received it. It returns false if the primary lost the lead before that.
func (g *group) commit(t *target, changes []change) (siskin.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.primary || t.left {
		return siskin.Position{}, false
	}
	pos := siskin.Position{Term: t.term, LSN: t.position().LSN + 1}
	t.log = append(t.log, commit{pos: pos, changes: changes, receivedAt: time.Now()})
	g.replicate()
	for t.primary && t.term == pos.Term && !t.closed && !t.left {
		n := 0
		for _, o := range g.targets {
			if o != t && !o.left && o.has(pos) {
				n++
			}
		}
		if n >= g.sync {
			return pos, true
		}
		g.cond.Wait()
	}
	return pos, false
}

// promote makes a target the primary of the next term, with what it has
// received.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	var next *target
	var newest siskin.Term
	for _, t := range g.targets {
		if t.id == id {
			next = t
		}
		newest = max(newest, t.term)
	}
	if next == nil || next.left || next.primary {
		g.mu.Unlock()
		return next != nil && !next.left
	}
	for _, t := range g.targets {
		t.primary = false
	}
	next.primary, next.term, next.held = true, newest+1, 0
	g.rec.logf("target %s leads term %d from position %v", id, next.term, formatPosition(next.position()))
	g.replicate()
	g.mu.Unlock()
	g.publish()
	return true
}

func (g *group) close() {
	g.mu.Lock()
	for _, t := range g.targets {
		t.closed = true
	}
	g.cond.Broadcast()
	g.mu.Unlock()
	for _, t := range g.targets {
		t.close()
	}
	g.wg.Wait()
}
