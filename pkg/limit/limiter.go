package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Limiter is the part of the distributed rate limiter that runs at one VM. It
// implements siskin.Limiter. Start begins the exchange of units with other
// VMs.
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
	retryReadAt     [objects]time.Time // earliest next read of an object that could not be read
	readFailures    [objects]int
	reclaimDue      map[int]time.Time  // time from which this VM may reclaim, by bucket
	reportSets      map[int]*reportSet // reports received so far, by bucket
	refreshedObject int                // object read last by refreshNextObject
	refreshedAt     time.Time

	cancel context.CancelFunc
	done   sync.WaitGroup
}

var _ siskin.Limiter = (*Limiter)(nil)

// New returns the limiter of this VM. It holds no units yet.
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

// dataCentres returns a function that returns the data centre of a VM.
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

// AdmitWait admits n requests, after a short wait for units from other VMs if
// necessary. It waits only while more units can be expected, at most until ctx
// is done or for the time set by WithMaxWait. Otherwise it rejects the
// requests at once. A wait for the record of the bucket may last up to
// maxJoinWait.
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

// maxJoinWait bounds the wait of the first requests for the record of their
// bucket. Reading it takes a few round trips to the platform, and some retries
// when several VMs join at once.
const maxJoinWait = time.Second

func (l *Limiter) now() time.Duration { return l.clock.Now().Sub(l.origin) }

// Close stops the exchange and waits for calls in progress. Units that were
// not handed over are reclaimed by other VMs after the platform lists this VM
// as gone.
func (l *Limiter) Close() error {
	l.cancel()
	l.done.Wait()
	return nil
}
