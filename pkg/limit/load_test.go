package limit

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// size returns the encoded size of a message in an established net/rpc stream,
// in which type descriptions are sent once, plus 24 bytes for the header.
func size(message any) int {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	_ = e.Encode(message)
	first := b.Len()
	_ = e.Encode(message)
	return b.Len() - first + 24
}

// tokenBucket is the ideal limiter, which decides which requests are within the
// rate. The two baselines, a static division and a shared bucket, use it too.
type tokenBucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func (t *tokenBucket) admit(now time.Time) bool {
	if !t.at.IsZero() {
		t.tokens = min(t.burst, t.tokens+t.rate*now.Sub(t.at).Seconds())
	} else {
		t.tokens = t.burst
	}
	t.at = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// windowChecker checks admitted <= rate x time + burst over every window,
// independently of the limiter. The level is the largest excess of any window
// that ends now.
type windowChecker struct {
	level, worst float64
	at           time.Time
}

func (w *windowChecker) admitted(now time.Time, rate float64) {
	w.level = max(0, w.level-rate*now.Sub(w.at).Seconds()) + 1
	w.at = now
	w.worst = max(w.worst, w.level)
}

// traffic sends requests of one customer to the VMs, in proportions that
// change over time.
type traffic struct {
	f               *fleet
	doc             *config.Customer
	rng             *rand.Rand
	load            float64 // offered load as a part of the rate
	shares          map[siskin.VMID]float64
	waiting         []waiter
	ideal           tokenBucket
	checker         windowChecker
	static          map[siskin.VMID]*tokenBucket // equal parts of the rate, one per VM
	shared          tokenBucket                  // at the first VM; rejects requests while that VM is unreachable
	offered         int
	late            int // requests that were rejected after more than 10 ms
	waited          int // requests that were not answered at once
	refused         int // rejected requests that the ideal bucket admits
	counted         int // rejected requests that the limiter counts as within the rate
	refusedByStatic int
	refusedByShared int
}

type waiter struct {
	n         *node
	until     time.Duration
	ideal     bool // the ideal bucket admits the request
	hasWaited bool // the request is already counted in traffic.waited
}

func newTraffic(f *fleet, doc *config.Customer, load float64, seed uint64) *traffic {
	rate, burst := float64(doc.Rate), float64(doc.Burst)
	return &traffic{
		f: f, doc: doc, load: load, rng: rand.New(rand.NewPCG(seed, 2)),
		ideal: tokenBucket{rate: rate, burst: burst}, shared: tokenBucket{rate: rate, burst: burst},
		static: make(map[siskin.VMID]*tokenBucket),
	}
}

// shiftDemand draws new shares; about half of the VMs get none.
func (t *traffic) shiftDemand() {
	t.shares = make(map[siskin.VMID]float64)
	sum := 0.0
	for _, n := range t.f.vms {
		share := max(0, t.rng.Float64()-0.5)
		t.shares[n.vm.ID] += share
		sum += share
	}
	for id := range t.shares {
		t.shares[id] /= max(sum, 1e-9)
	}
}

// step sends the requests of one millisecond.
func (t *traffic) step() {
	for _, n := range t.f.vms {
		mean := t.load * float64(t.doc.Rate) * t.shares[n.vm.ID] / 1000
		for mean > 0 && !n.dead {
			if mean -= t.rng.ExpFloat64(); mean < 0 {
				break
			}
			if n = t.route(n); n != nil {
				t.request(n)
			}
			if n == nil {
				break
			}
		}
	}
	t.retry()
}

// route returns the VM that gets the requests to n: another one in its data
// centre while n stays paused for another second or more. In the last second of
// a pause the requests are lost, and route returns nil.
func (t *traffic) route(n *node) *node {
	if n.up() {
		return n
	}
	if n.paused.Sub(t.f.at) < time.Second {
		return nil
	}
	for _, o := range t.f.vms {
		if o.up() && o.vm.DataCentre == n.vm.DataCentre {
			return o
		}
	}
	return nil
}

func (t *traffic) request(n *node) {
	t.offered++
	ideal := t.ideal.admit(t.f.at)
	if t.static[n.vm.ID] == nil {
		parts := float64(len(t.f.vms))
		t.static[n.vm.ID] = &tokenBucket{rate: float64(t.doc.Rate) / parts, burst: float64(t.doc.Burst) / parts}
	}
	static := t.static[n.vm.ID].admit(t.f.at)
	sharedVM := t.f.vms[0]
	shared := sharedVM.up() && !t.f.partitioned(n, sharedVM) && t.shared.admit(t.f.at)
	if ideal && !static {
		t.refusedByStatic++
	}
	if ideal && !shared {
		t.refusedByShared++
	}
	a := n.l.core.admit(n.l.now(), t.doc.ID, 1, true) // Admit would record a final rejection
	switch {
	case a.Admitted:
		t.checker.admitted(t.f.at, float64(t.doc.Rate))
	default:
		t.refuse(waiter{n: n, until: n.l.now() + n.l.maxWait, ideal: ideal})
	}
}

// refuse makes a rejected request wait if the limiter expects units, as
// AdmitWait does.
func (t *traffic) refuse(w waiter) {
	if _, _, ok := w.n.l.core.startWait(w.n.l.now(), t.doc.ID, 1, w.until); ok {
		if !w.hasWaited {
			t.waited++
		}
		w.hasWaited = true
		t.waiting = append(t.waiting, w)
		return
	}
	if w.ideal {
		t.refused++
	}
	if w.n.l.core.withinRate(w.n.l.now(), t.doc.ID, 1) {
		t.counted++
	}
	if w.n.l.maxWait-(w.until-w.n.l.now()) > 10*time.Millisecond {
		t.late++
	}
}

func (t *traffic) retry() {
	list := t.waiting
	t.waiting = nil
	for _, w := range list {
		if !w.n.up() {
			t.waiting = append(t.waiting, w)
			continue
		}
		w.n.l.core.endWait(t.doc.ID, 1)
		if w.n.l.core.admit(w.n.l.now(), t.doc.ID, 1, false).Admitted {
			t.checker.admitted(t.f.at, float64(t.doc.Rate))
		} else {
			t.refuse(w)
		}
	}
}
