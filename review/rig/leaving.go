package main

import (
	"errors"
	"time"
)

func init() { scenarios["leaving"] = leaving }

const (
	// drainFor is how long a draining target goes on: drain_ms of the site and a
	// little longer.
	drainFor = 8 * time.Second
	// downFor is how long a crashed primary is down, as in the site file.
	downFor = 7 * time.Second
)

// leaving replaces a replica as planned. While the old one drains, the other
// replicas receive nothing, and the primary crashes soon after the old replica
// has left.
func leaving(r *rig) error {
	o := groupOptions{service: "ledger", slots: 3, work: 6 * time.Millisecond, maxConns: 38, sync: 1, promotion: 600 * time.Millisecond}
	dcs := []string{"dc-1", "dc-2", "dc-3"}
	for _, dc := range dcs {
		o.targets = append(o.targets, targetOptions{zone: dc, lag: 60 * time.Millisecond})
	}
	if err := r.start(dcs, o); err != nil {
		return err
	}
	// Replicas count as evidence for a primary once they have run for 16 s.
	time.Sleep(3 * time.Second)
	g := r.groups[0]
	w := startWriters(r, g.service)
	time.Sleep(2 * time.Second)
	primary, old, other := g.targets[0], g.targets[1], g.targets[2]
	successor, err := g.add(targetOptions{zone: "dc-2", lag: 60 * time.Millisecond}, time.Now())
	if err != nil {
		return err
	}
	r.rec.logf("target %s starts", successor.id)
	g.publish()
	time.Sleep(1500 * time.Millisecond)
	g.drain(old)
	time.Sleep(drainFor - 4*time.Second)
	if r.trouble {
		g.setDeaf(other, true)
		g.setDeaf(successor, true)
	}
	time.Sleep(4 * time.Second)
	g.leave(old)
	if r.trouble {
		time.Sleep(300 * time.Millisecond)
		g.crash(primary)
		time.Sleep(deafFor - 4300*time.Millisecond)
		g.setDeaf(other, false)
		g.setDeaf(successor, false)
		time.Sleep(downFor - (deafFor - 4300*time.Millisecond))
		if err := g.restart(primary); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	w.stop()
	if p := g.primaryTarget(); r.trouble && p == primary {
		return errors.Join(w.check(g), errors.New("the primary was not replaced"))
	}
	return w.check(g)
}
