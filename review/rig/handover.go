package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"siskintray.example/siskin"
)

func init() { scenarios["handover"] = handover }

const (
	// lateOrder is the time after which an order without an answer is carried
	// out. The limit of the pages is 12 s.
	lateOrder = 7 * time.Second
	// deafFor is how long a replica receives nothing, as in the site file.
	deafFor = 6500 * time.Millisecond
	// writeGap is the pause of a writer between two writes.
	writeGap = 40 * time.Millisecond
)

// handover replaces a primary as planned. The orders of the VM that carries it
// out get no answer, and the VM is killed. Another VM promotes another replica.
// Then the late orders are carried out.
func handover(r *rig) error {
	dcs := []string{"dc-1", "dc-2", "dc-3"}
	var groups []groupOptions
	for i, service := range []string{"ledger", "designs", "press"} {
		o := groupOptions{service: service, slots: 3, work: 6 * time.Millisecond, maxConns: 38, sync: 1, promotion: 600 * time.Millisecond}
		for n := range dcs {
			// The second replica is 20 ms less behind than the first one.
			o.targets = append(o.targets, targetOptions{zone: dcs[(i+n)%len(dcs)], lag: time.Duration(80-20*n) * time.Millisecond})
		}
		groups = append(groups, o)
	}
	if err := r.start(dcs, groups...); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	g, first := r.groups[0], r.vms[0]
	w := startWriters(r, g.service)
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var held []order
	second := make(chan struct{})
	if r.trouble {
		r.promoter.setLate(func(o order) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if o.service != g.service || o.holder != first.id || len(held) == 2 {
				return 0
			}
			held = append(held, o)
			if len(held) == 2 {
				close(second)
			}
			return lateOrder
		})
	}
	g.drain(g.targets[0])
	if r.trouble {
		select {
		case <-second:
		case <-time.After(5 * time.Second):
			w.stop()
			return errors.New("the first VM did not order a promotion twice")
		}
		first.stop(syscall.SIGKILL)
		mu.Lock()
		candidate := held[1].target
		mu.Unlock()
		time.Sleep(3 * time.Second)
		var replica *target
		for _, t := range g.targets {
			if t.id == candidate {
				replica = t
			}
		}
		if p := g.primaryTarget(); p == nil || p == replica {
			w.stop()
			return errors.New("no other VM has promoted another replica")
		}
		g.setDeaf(replica, true)
		time.Sleep(deafFor)
		g.setDeaf(replica, false)
	} else {
		time.Sleep(10 * time.Second)
	}
	w.stop()
	return w.check(g)
}

// writers are clients that write different data one after the other.
type writers struct {
	r    *rig
	done sync.WaitGroup
	end  atomic.Bool

	mu    sync.Mutex
	acked []change
}

const writersPerVM = 3

func startWriters(r *rig, service string) *writers {
	w := &writers{r: r}
	for _, v := range r.vms {
		for n := range writersPerVM {
			w.done.Go(func() { w.run(v, fmt.Sprintf("%s-w%d", v.id, n), database(service, siskin.PrimaryReads)) })
		}
	}
	return w
}

func (w *writers) run(v *vm, name, db string) {
	var c *client
	for n := 0; !w.end.Load(); n++ {
		time.Sleep(writeGap)
		if c == nil {
			var err error
			if c, err = dial(w.r.rec, name, v.caller, db, key); err != nil {
				c = nil
				continue
			}
		}
		ch := change{name, fmt.Sprintf("%s.%d", name, n)}
		a, err := c.query("WRITE " + ch.item + " " + ch.data)
		switch {
		case err != nil:
			c.close()
			c = nil
		case a.code == "" && a.signature != "-":
			w.mu.Lock()
			w.acked = append(w.acked, ch)
			w.mu.Unlock()
		}
	}
	if c != nil {
		c.close()
	}
}

func (w *writers) stop() {
	w.end.Store(true)
	w.done.Wait()
}

// check looks for each acknowledged write in the log of the last primary.
func (w *writers) check(g *group) error {
	p := g.primaryTarget()
	if p == nil {
		return errors.New("there is no primary at the end")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := 0
	for _, ch := range w.acked {
		if !p.holds(ch.item, ch.data) {
			lost++
			w.r.rec.logf("LOST: %s was acknowledged and is not in the log of %s", ch.data, p.id)
		}
	}
	w.r.rec.logf("%d writes acknowledged, %d of them lost", len(w.acked), lost)
	fmt.Printf("%d writes acknowledged, %d of them are not in the log of the promoted target\n", len(w.acked), lost)
	if lost > 0 {
		return errBroken
	}
	if len(w.acked) == 0 {
		return errors.New("no write was acknowledged")
	}
	return nil
}
