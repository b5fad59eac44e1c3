package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"siskintray.example/siskin/platform/stand"
)

const (
	// recoverTime is the time after the final fault from which requests count, and
	// countTime the time in which they are counted before and after it.
	recoverTime = 12 * time.Second
	countTime   = 5 * time.Second
	// replaceTime is the time between two replacements.
	replaceTime = 3 * time.Second
)

// replace replaces the machines one after the other, each by one with another name
// and address. All processes are killed with the last replacement. Without trouble
// the machines stay, and are killed all the same.
func (r *run) replace(f *fleet) (int, error) {
	first := f.vms
	for i, old := range first[:len(first)-1] {
		if !r.trouble {
			break
		}
		if err := r.replaceOne(f, old); err != nil {
			return 2, err
		}
		r.log("%d of %d machines are replaced", i+1, len(first))
		time.Sleep(replaceTime)
	}
	before := r.count(f)
	r.log("before the final fault: %s", before)
	last := f.vms[0]
	for _, v := range f.vms {
		v.stop(syscall.SIGKILL)
	}
	r.log("all processes are killed")
	if r.trouble {
		f.vms = f.vms[1:]
		if _, err := f.add(successorOf(last)); err != nil {
			return 2, err
		}
		r.log("%s is removed for good and replaced", last.id)
	}
	for _, v := range f.vms {
		if err := v.start(f); err != nil {
			return 2, err
		}
	}
	time.Sleep(recoverTime)
	after := r.count(f)
	r.log("%v after the machines are back: %s", recoverTime, after)
	fmt.Printf("served: %s before the final fault, %s after it\n", before, after)
	switch {
	case before.sent == 0 || after.sent == 0 || 4*before.served < before.sent:
		return 2, nil
	case 4*after.served < after.sent:
		return 1, nil
	}
	return 0, nil
}

// successorOf returns the name and the zone of the machine that replaces another.
func successorOf(v *vm) (id, zone string) {
	zone = strings.Split(v.id, "-")[1]
	return "front-" + zone + "-2", zone
}

// replaceOne starts a new machine and then stops the old one as planned.
func (r *run) replaceOne(f *fleet, old *vm) error {
	v, err := f.add(successorOf(old))
	if err == nil {
		err = v.start(f)
	}
	if err != nil {
		return err
	}
	r.log("%s starts in place of %s", v.id, old.id)
	for deadline := time.Now().Add(10 * time.Second); !v.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready", v.id)
		}
	}
	old.stop(syscall.SIGTERM)
	for i, other := range f.vms {
		if other == old {
			f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
			break
		}
	}
	return nil
}

// served is a number of requests and how many of them succeeded.
type served struct{ sent, served int }

func (s served) String() string { return fmt.Sprintf("%d of %d", s.served, s.sent) }

// count sends some ten requests a second through each machine.
func (r *run) count(f *fleet) served {
	var sent, ok atomic.Int64
	var clients sync.WaitGroup
	for _, v := range f.vms {
		clients.Go(func() {
			for end, n := time.Now().Add(countTime), 0; time.Now().Before(end); n++ {
				time.Sleep(100 * time.Millisecond)
				sent.Add(1)
				c, err := stand.Dial(v.caller, "entry", key)
				if err != nil {
					r.log("%s: no session: %v", v.id, err)
					continue
				}
				res, err := c.Query(fmt.Sprintf("WRITE %s-%d kept", v.id, n))
				c.Conn.Close()
				r.log("%s: WRITE: %q %s, %v", v.id, res.Code, res.Text, err)
				if err == nil && res.Code == "" {
					ok.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return served{int(sent.Load()), int(ok.Load())}
}
