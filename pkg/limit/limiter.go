package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Limiter is one VM's part of the distributed limits. It implements
// siskin.Limiter. Start begins the exchange with other VMs.
type Limiter struct {
	settings
	clock    siskin.Clock
	origin   time.Time
	core     *core
	view     config.View
	members  siskin.Members
	peers    siskin.Peers
	platform siskin.Platform

	operations      atomic.Uint64
	retryReadAt     [objects]time.Time // earliest next read of an object that failed
	readFailures    [objects]int
	reclaimDue      map[int]time.Time  // by bucket
	reportSets      map[int]*reportSet // reports of buckets under reclaim
	refreshedObject int                // object that was read last by refreshRecord
	refreshedAt     time.Time

	cancel context.CancelFunc
	done   sync.WaitGroup
}

var _ siskin.Limiter = (*Limiter)(nil)

// New returns the limiter of this VM, which holds nothing yet.
func New(clock siskin.Clock, view config.View, members siskin.Members, peers siskin.Peers, platform siskin.Platform, options ...Option) *Limiter {
	self := members.Self()
	l := &Limiter{
		settings: defaultSettings(),
		clock:    clock, origin: clock.Now(), view: view,
		members: members, peers: peers, platform: platform,
		core:       newCore(holderID{self.ID, self.Incarnation}, view, dataCentres(members)),
		reclaimDue: make(map[int]time.Time),
		reportSets: make(map[int]*reportSet),
		cancel:     func() {},
	}
	for _, o := range options {
		o(&l.settings)
	}
	return l
}

// dataCentres returns a function that looks up the data centre of a VM.
func dataCentres(members siskin.Members) func(siskin.VMID) siskin.DataCentreID {
	self := members.Self()
	return func(id siskin.VMID) siskin.DataCentreID {
		if id == self.ID {
			return self.DataCentre
		}
		vm, _ := members.Lookup(id)
		return vm.DataCentre
	}
}

// Admit implements siskin.Limiter. It does not block.
func (l *Limiter) Admit(now time.Time, customer siskin.CustomerID, n siskin.Requests) siskin.Admission {
	at := now.Sub(l.origin)
	a := l.core.admit(at, customer, float64(n), true)
	a.WithinRate = !a.Admitted && l.core.withinRate(at, customer, float64(n))
	return a
}

// AdmitWait admits n requests, if need be after a short wait for units of other
// VMs. It waits only while units can be expected, at most until the context
// ends or the bound of WithMaxWait; a request that is given up is answered
// at once.
func (l *Limiter) AdmitWait(ctx context.Context, customer siskin.CustomerID, n siskin.Requests) siskin.Admission {
	a := l.admitWait(ctx, customer, n)
	a.WithinRate = !a.Admitted && l.core.withinRate(l.now(), customer, float64(n))
	return a
}

func (l *Limiter) admitWait(ctx context.Context, customer siskin.CustomerID, n siskin.Requests) siskin.Admission {
	now := l.now()
	a := l.core.admit(now, customer, float64(n), true)
	joining := !a.Admitted && l.core.joining(customer)
	until := now + l.maxWait
	if joining {
		until = now + maxJoinWait
	}
	if deadline, ok := ctx.Deadline(); ok {
		until = min(until, deadline.Sub(l.origin))
	}
	for !a.Admitted {
		wakeup, pause, ok := l.core.startWait(now, customer, float64(n), until)
		if !ok {
			return a
		}
		select {
		case <-wakeup:
		case <-l.clock.After(pause):
		case <-ctx.Done():
		}
		l.core.endWait(customer, float64(n))
		if ctx.Err() != nil {
			return a
		}
		now = l.now()
		if joining && !l.core.joining(customer) {
			joining, until = false, min(until, now+l.maxWait)
		}
		a = l.core.admit(now, customer, float64(n), false)
	}
	return a
}

// maxJoinWait is the longest wait of the first requests for the record of their
// bucket, which takes a few round trips to the platform and, when several VMs
// join at once, some repetitions.
const maxJoinWait = time.Second

func (l *Limiter) now() time.Duration { return l.clock.Now().Sub(l.origin) }

// Close stops the exchange and waits for calls in progress. Rights that were
// not handed over return to the others after the platform lists the VM as gone.
func (l *Limiter) Close() error {
	l.cancel()
	l.done.Wait()
	return nil
}
