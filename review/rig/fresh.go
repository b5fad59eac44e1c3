package main

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["fresh"] = fresh }

// entryLife is how long the entry of a silent target stays: three heartbeat
// intervals.
const entryLife = 3600 * time.Millisecond

// fresh starts the whole fleet anew while service discovery lacks a replica.
// One replica receives nothing, the other one and then the primary crash, and
// all VMs are killed and start again.
func fresh(r *rig) error {
	o := groupOptions{service: "ledger", slots: 3, work: 6 * time.Millisecond, maxConns: 38, sync: 1, promotion: 600 * time.Millisecond}
	dcs := []string{"dc-1", "dc-2", "dc-3"}
	for _, dc := range dcs {
		o.targets = append(o.targets, targetOptions{zone: dc, lag: 60 * time.Millisecond})
	}
	if err := r.start(dcs, o); err != nil {
		return err
	}
	time.Sleep(10 * time.Second) // the VMs know the group for longer than its size needs
	g := r.groups[0]
	w := startWriters(r, g.service)
	time.Sleep(2 * time.Second)
	primary, replica, other := g.targets[0], g.targets[1], g.targets[2]
	if !r.trouble {
		time.Sleep(3 * time.Second)
		if err := r.restartVMs(); err != nil {
			return err
		}
		time.Sleep(10 * time.Second)
		w.stop()
		return w.check(g)
	}
	g.setDeaf(other, true)
	time.AfterFunc(deafFor, func() { g.setDeaf(other, false) })
	time.Sleep(2 * time.Second)
	errs := make(chan error, 2)
	crash := func(t *target) {
		g.crash(t)
		time.AfterFunc(entryLife, func() { g.store.Delete("servers", t.id) })
		time.AfterFunc(downFor, func() { errs <- g.restart(t) })
	}
	crash(replica)
	time.Sleep(900 * time.Millisecond)
	crash(primary)
	time.Sleep(2700 * time.Millisecond)
	if err := r.restartVMs(); err != nil {
		return err
	}
	if err := errors.Join(<-errs, <-errs); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	w.stop()
	return w.check(g)
}

// restartVMs kills all VMs at once and starts them again.
func (r *rig) restartVMs() error {
	var done sync.WaitGroup
	for _, v := range r.vms {
		done.Go(func() { v.stop(syscall.SIGKILL) })
	}
	done.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, v := range r.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}
