package group

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/store"
)

var errNoAnswer = errors.New("no answer")

// rules selects the rules that a simulation breaks on purpose.
type rules struct {
	store               store.Rules
	tooFewClaims        bool // promote with one claim too few
	comparePositionOnly bool // logs compared by position alone
	confirmAnyStream    bool // positions received in other terms confirm
}

// sim simulates some VMs, with their machines and trackers, against stores on a
// virtual clock, with partitions, pauses, restarts and lost or late messages.
type sim struct {
	rng         *rand.Rand
	now         time.Time
	queue       taskQueue
	stores      []*store.Store
	ids         []siskin.TargetID
	ackReplicas int
	rules       rules
	vms         []*simVM
	partitioned map[[2]int]bool // pairs of nodes; VMs come after the targets
	pausedUntil map[int]time.Time
	lossRate    float64

	sequence   uint64
	acked      map[string]siskin.Position
	primaries  map[siskin.Term]int
	failure    error
	promotions int
}

func newSim(seed uint64, n, vms int, r rules) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0), ackReplicas: (n - 1) / 2, rules: r,
		partitioned: make(map[[2]int]bool), pausedUntil: make(map[int]time.Time),
		acked: make(map[string]siskin.Position), primaries: map[siskin.Term]int{1: 0},
	}
	for i := range n {
		id := siskin.TargetID(fmt.Sprintf("t/%d", i))
		st := store.New(id, store.Leader{ID: "t/0", Term: 1})
		st.SetRules(r.store)
		s.ids, s.stores = append(s.ids, id), append(s.stores, st)
		s.every(i, 4*time.Millisecond, 20*time.Millisecond, func() { s.replicate(i) })
	}
	for i := range vms {
		v := &simVM{sim: s, node: n + i, id: siskin.VMID(fmt.Sprintf("vm-%d", i))}
		s.vms = append(s.vms, v)
		v.restart()
		v.start()
	}
	return s
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for s.failure == nil && s.queue[0].at.Before(end) {
		t := heap.Pop(&s.queue).(task)
		s.now = t.at
		t.f()
	}
	s.now = end
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf(format, args...)
	}
}

// delay returns a message delay that is mostly short; some messages are late by
// more than a timeout.
func (s *sim) delay() time.Duration {
	if s.rng.Float64() < 0.02 {
		return s.randomDuration(time.Millisecond, 2*time.Second)
	}
	return s.randomDuration(500*time.Microsecond, 4*time.Millisecond)
}

func (s *sim) dropsMessage(a, b int) bool {
	return s.partitioned[[2]int{min(a, b), max(a, b)}] || s.rng.Float64() < s.lossRate
}

// call runs f at a target. The answer, or the call itself, may be lost or late.
func (s *sim) call(v *simVM, target int, f func() (siskin.TargetStatus, error), done func(siskin.TargetStatus, error)) {
	incarnation, answered := v.incarnation, false
	answer := func(st siskin.TargetStatus, err error) {
		if !answered && v.incarnation == incarnation {
			answered = true
			done(st, err)
		}
	}
	s.onNode(v.node, 600*time.Millisecond, func() { answer(siskin.TargetStatus{}, errNoAnswer) })
	if s.dropsMessage(v.node, target) {
		return
	}
	s.onNode(target, s.delay(), func() {
		st, err := f()
		if !s.dropsMessage(v.node, target) {
			s.onNode(v.node, s.delay(), func() { answer(st, err) })
		}
	})
}

// replicate copies some records of the leader's log to replica i.
func (s *sim) replicate(i int) {
	hello, ok := s.stores[i].Hello()
	if !ok {
		return
	}
	for j, id := range s.ids {
		if id != hello.Leader.ID || s.dropsMessage(i, j) || s.pausedUntil[j].After(s.now) {
			continue
		}
		from, err := s.stores[j].Serve(hello.Leader.Term, hello.Segments)
		if err != nil || s.stores[i].Start(s.now, hello, from) != nil {
			return
		}
		records, err := s.stores[j].Next(hello.Leader.Term, s.stores[i].Status(s.now).Received, 1+s.rng.IntN(8))
		if err == nil {
			_ = s.stores[i].Receive(s.now, hello, records) // refused when claimed
		}
	}
}

// checkPromotion asserts that a term has one primary and that its log holds
// every acknowledged write.
func (s *sim) checkPromotion(term siskin.Term, target int) {
	if other, ok := s.primaries[term]; ok && other != target {
		s.fail("term %d has primaries %d and %d", term, other, target)
	}
	s.primaries[term] = target
	s.promotions++
	s.checkLog(term, target)
}

// checkLog asserts that a primary has the acknowledged writes of earlier terms.
// A delayed promotion may take effect in a term that a later one has already
// replaced. That primary lacks writes of later terms, but it cannot confirm
// any, since enough targets are claimed for those terms (seed 1127, 3 targets:
// term 5 began after term 7).
func (s *sim) checkLog(term siskin.Term, target int) {
	has := make(map[string]bool)
	for _, r := range s.stores[target].Records() {
		for _, op := range r.Ops {
			has[op.Key] = true
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.acked)) {
		if pos := s.acked[key]; pos.Term < term && !has[key] {
			s.fail("write %s at %v was acknowledged and is not at the primary t/%d", key, pos, target)
		}
	}
}

// injectFault injects one random fault.
func (s *sim) injectFault() {
	nodes := len(s.ids) + len(s.vms)
	a, b := s.rng.IntN(nodes), s.rng.IntN(nodes)
	switch s.rng.IntN(16) {
	case 0, 1, 2:
		s.partitioned[[2]int{min(a, b), max(a, b)}] = true
	case 3: // isolate one target or VM
		for j := range nodes {
			s.partitioned[[2]int{min(a, j), max(a, j)}] = true
		}
	case 4, 5:
		s.pausedUntil[a] = s.now.Add(s.randomDuration(50*time.Millisecond, 5*time.Second))
	case 6:
		s.lossRate = s.rng.Float64() * 0.2
	case 7:
		s.vms[s.rng.IntN(len(s.vms))].restart()
	case 8:
		s.stores[s.rng.IntN(len(s.stores))].EndSessions()
	case 9:
		v := s.vms[s.rng.IntN(len(s.vms))]
		v.step(event{kind: evChange, preferred: s.ids[s.rng.IntN(len(s.ids))]})
	case 10:
		s.stores[s.rng.IntN(len(s.stores))].SetLeaving(s.rng.IntN(2) == 0)
	case 11, 12: // partition all nodes into two sides
		side := s.rng.Uint64()
		for i := range nodes {
			for j := range i {
				if side>>i&1 != side>>j&1 {
					s.partitioned[[2]int{j, i}] = true
				}
			}
		}
	case 13: // pause the newest primary while the others recover
		s.healNetwork()
		_, primary := s.newestPrimary()
		s.pausedUntil[primary] = s.now.Add(s.randomDuration(time.Second, 6*time.Second))
	default:
		s.healNetwork()
	}
}

// newestPrimary returns the highest term with a primary, and that primary.
func (s *sim) newestPrimary() (term siskin.Term, target int) {
	for t := range s.primaries {
		term = max(term, t)
	}
	return term, s.primaries[term]
}

func (s *sim) healNetwork() {
	clear(s.partitioned)
	s.lossRate = 0
}

// runWithFaults runs the simulation with faults, then ends all faults and
// checks that every acknowledged write is at the primary and that writes
// succeed again.
func (s *sim) runWithFaults(d time.Duration) error {
	s.run(2 * time.Second)
	for end := s.now.Add(d); s.now.Before(end) && s.failure == nil; {
		s.injectFault()
		s.run(s.randomDuration(20*time.Millisecond, 1500*time.Millisecond))
	}
	s.healNetwork()
	clear(s.pausedUntil)
	for _, st := range s.stores {
		st.SetLeaving(false)
	}
	s.run(15 * time.Second)
	before := len(s.acked)
	s.run(5 * time.Second)
	if s.failure == nil && len(s.acked) == before {
		s.fail("no write is acknowledged 15 s after the end of all faults")
	}
	term, primary := s.newestPrimary()
	s.checkLog(term+1, primary) // its own writes too
	return s.failure
}
