package spread

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/internal/stand/objapi"
)

const (
	soakVMs      = 7
	soakJoins    = 3 // VMs that join later
	soakServices = 5
)

// TestSoak guards against a revision in force that decreases, an accepted change
// that is not in force at a reachable VM within 9 s, and a refused change that is
// in force at any VM. The faults are partitions, restarts, delayed and lost
// responses of VMs and of the platform, outages, concurrent operators, and VMs
// that join during an outage of the platform. A VM counts as reachable while it
// runs and the platform responds, since at least one watcher of each data
// centre reaches the platform.
func TestSoak(t *testing.T) {
	var total soakCounts
	soak.Each(t, func(t *testing.T, seed uint64) {
		c := runSoak(t, seed)
		total.add(c)
		t.Logf("%v", c)
	})
	t.Logf("total: %v", total)
}

// runSoak runs one seed. Every second seed has no outage of the platform and
// runs longer than maxSpreadTime, so that the bound is checked under faults too.
func runSoak(t *testing.T, seed uint64) soakCounts {
	rng := rand.New(rand.NewPCG(seed, 0))
	platform, err := objapi.Start(objapi.Config{Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	f := newFakeFleet()
	f.dataCentres = []siskin.DataCentreID{"a", "b", "c"}
	defer func() { f.close(); _ = platform.Close() }()
	for i := range soakVMs {
		f.start(t, platform, i, fastConfig())
	}
	o := newObserver(t, f, seed)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { o.observe(stop) })
	for i := range 4 {
		running.Go(func() { o.applyRandomChanges(rand.New(rand.NewPCG(seed, uint64(i+1))), i, stop) })
	}

	length, outages := 3*time.Second, seed%2 == 1
	if !outages {
		length = maxSpreadTime + 3*time.Second
	}
	next := soakVMs
	for end := time.Now().Add(length); time.Now().Before(end) && !t.Failed(); {
		o.changeRandomFault(t, rng, platform, outages)
		if outages && next < soakVMs+soakJoins && rng.IntN(6) == 0 {
			o.startVM(t, platform, next)
			next++
		}
		time.Sleep(time.Duration(20+rng.IntN(150)) * time.Millisecond)
	}
	o.clearFaults(platform)
	o.joinWithoutPlatform(t, platform, next)
	close(stop)
	running.Wait()

	rev := o.applyLast(t)
	o.counts.slowestSpread = max(o.counts.slowestSpread, waitForRevision(t, f.all(), rev, maxSpreadTime))
	o.check(t)
	return o.counts
}

// changeRandomFault injects or clears one fault at random.
func (o *observer) changeRandomFault(t *testing.T, rng *rand.Rand, platform *objapi.Server, outages bool) {
	o.counts.faults++
	f := o.f
	all := f.all()
	n := all[rng.IntN(len(all))]
	switch rng.IntN(9) {
	case 0:
		o.setPlatform(platform, objapi.Faults{LoseShare: 0.3})
	case 1:
		o.setPlatform(platform, objapi.Faults{DelayMs: rng.IntN(150)})
	case 2:
		o.setPlatform(platform, objapi.Faults{Refuse: outages})
	case 3:
		f.setPartitioned(rng.IntN(2) == 0)
	case 4: // at most one VM at a time cannot reach the platform
		for _, other := range all {
			other.platformCutOff.Store(false)
		}
		n.platformCutOff.Store(true)
	case 5:
		f.messageFaults.set(rand.New(rand.NewPCG(o.seed, rng.Uint64())), rng.Float64()/2, 2*time.Second)
	case 6:
		n.delayHead.Store(true)
	case 7:
		o.restart(t, platform, rng.IntN(soakVMs))
	default:
		o.setPlatform(platform, objapi.Faults{})
		f.setPartitioned(false)
		f.messageFaults.set(nil, 0, 0)
	}
}

// clearFaults ends all faults.
func (o *observer) clearFaults(platform *objapi.Server) {
	o.setPlatform(platform, objapi.Faults{})
	o.f.setPartitioned(false)
	o.f.messageFaults.set(nil, 0, 0)
	for _, n := range o.f.all() {
		n.platformCutOff.Store(false)
		n.delayHead.Store(false)
	}
}

// joinWithoutPlatform starts a VM during an outage of the platform and checks
// that it gets the revision of the others within maxSpreadTime.
func (o *observer) joinWithoutPlatform(t *testing.T, platform *objapi.Server, i int) {
	all := o.f.all()
	rev := all[0].Revision()
	waitForRevision(t, all, rev, maxSpreadTime)
	o.setPlatform(platform, objapi.Faults{Refuse: true})
	n := o.startVM(t, platform, i)
	o.counts.slowestSpread = max(o.counts.slowestSpread, waitForRevision(t, []*node{n}, rev, maxSpreadTime))
	o.setPlatform(platform, objapi.Faults{})
}

// applyLast applies a change after all faults have ended. It retries while the
// platform is unavailable.
func (o *observer) applyLast(t *testing.T) siskin.Revision {
	c := setTarget("", "last", "last")
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		rev, err := o.f.all()[0].Spread.Apply(withTimeout(maxSpreadTime), &c.Change)
		if err == nil {
			return rev
		}
		if time.Since(begun) > maxSpreadTime {
			t.Fatalf("seed %d: last change: %v", o.seed, err)
		}
	}
}

// applyRandomChanges applies changes at random VMs until stop is closed: most
// are accepted or conflict with a concurrent change, some are invalid, some have
// an old base. A change with an unknown outcome may be retried with the same
// operation id at a random VM.
func (o *observer) applyRandomChanges(rng *rand.Rand, i int, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		op := fmt.Sprintf("op-%d-%d", i, n)
		service := fmt.Sprintf("s-%d", rng.IntN(soakServices))
		c := setTarget(op, service, op)
		all := o.f.all()
		switch rng.IntN(8) {
		case 0: // a valid and an invalid document; both are refused
			c.Services = append(c.Services, setTarget(op, "bad", op).Services...)
		case 1:
			c.Base = all[0].Revision()
		}
		apply := func() (siskin.Revision, error) {
			return all[rng.IntN(len(all))].Apply(withTimeout(time.Duration(100+rng.IntN(700))*time.Millisecond), c)
		}
		rev, err := apply()
		for tries := rng.IntN(3); tries > 0 && siskin.KindOf(err) == siskin.OutcomeUnknown; tries-- {
			unknown := err
			// Only success, Conflict and BadInput decide the outcome of the first
			// attempt.
			if rev, err = apply(); err != nil && siskin.KindOf(err) != siskin.Conflict && siskin.KindOf(err) != siskin.BadInput {
				err = unknown
			}
		}
		o.recordResult(op, service, rev, err)
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}
