package group

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/store"
)

// simVM is one VM: its machine, its tracker and a client that writes.
type simVM struct {
	sim         *sim
	node        int
	id          siskin.VMID
	incarnation int
	machine     *machine
	tracker     *tracker
	writes      int
	pending     map[string]*waiter
	sessions    map[siskin.TargetID]uint64 // session of the last claim
}

// restart discards all state, as a VM without persistent storage does.
func (v *simVM) restart() {
	s := v.sim
	v.incarnation++
	set := Settings{Service: "ledger", Self: v.id, AckReplicas: s.ackReplicas}
	for _, id := range s.ids {
		set.Members = append(set.Members, Member{ID: id})
	}
	set, err := set.withDefaults()
	if err != nil {
		panic(err)
	}
	v.machine = newMachine(set, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	v.tracker = newTracker(&set)
	v.pending = make(map[string]*waiter)
	v.sessions = make(map[siskin.TargetID]uint64)
	v.machine.rank = s.rng.IntN(len(s.ids)) % 2 // ranks are sometimes equal
	if s.rules.tooFewClaims {
		v.machine.quorumOverride = set.quorum() - 1
	}
	if s.rules.comparePositionOnly {
		v.machine.compareLogs = func(a, b siskin.Position) int { return cmp.Compare(a.LSN, b.LSN) }
	}
	v.tracker.countAnyTerm = s.rules.confirmAnyStream
}

func (v *simVM) start() {
	s := v.sim
	s.every(v.node, 15*time.Millisecond, 25*time.Millisecond, func() { v.step(event{kind: evTick}) })
	s.every(v.node, 10*time.Millisecond, 60*time.Millisecond, v.write)
	for i := range s.ids {
		s.every(v.node, 190*time.Millisecond, 210*time.Millisecond, func() { v.probe(i) })
		s.every(v.node, 20*time.Millisecond, 40*time.Millisecond, func() {
			if len(v.pending) > 0 {
				v.probe(i)
			}
		})
	}
}

func (v *simVM) step(e event) {
	if e.hasStatus {
		v.tracker.observe(e.status)
		v.collectResults()
	}
	v.machine.pendingSince = v.tracker.oldestArrival()
	for _, a := range slices.Clone(v.machine.step(v.sim.now, e)) {
		v.execute(a)
	}
}

func (v *simVM) probe(i int) {
	st := v.sim.stores[i]
	v.sim.call(v, i, func() (siskin.TargetStatus, error) { return st.Status(v.sim.now), nil }, func(r siskin.TargetStatus, err error) {
		v.step(event{kind: evStatus, target: v.sim.ids[i], status: r, hasStatus: err == nil})
	})
}

// execute runs one action of the machine at the target's store.
func (v *simVM) execute(a action) {
	s := v.sim
	i := slices.Index(s.ids, a.target)
	if i < 0 {
		return
	}
	st := s.stores[i]
	answer := func(kind eventKind) func(siskin.TargetStatus, error) {
		return func(r siskin.TargetStatus, err error) {
			v.step(event{
				kind: kind, target: a.target, attempt: a.attempt, status: r, ok: err == nil,
				hasStatus: err == nil || r.ClaimedTerm > 0, conflict: siskin.KindOf(err) == siskin.Conflict,
			})
		}
	}
	switch a.kind {
	case actProbe:
		v.probe(i)
	case actClaim:
		s.sequence++
		session := s.sequence
		v.sessions[a.target] = session
		s.call(v, i, func() (siskin.TargetStatus, error) {
			r, granted := st.Claim(s.now, a.term, v.id, session)
			if !granted {
				return r, errOtherVM(r.ClaimedTerm)
			}
			return r, nil
		}, answer(evClaimed))
	case actPromote:
		session := v.sessions[a.target]
		s.call(v, i, func() (siskin.TargetStatus, error) {
			r, err := st.Promote(s.now, session)
			if err != nil {
				return siskin.TargetStatus{}, err
			}
			s.checkPromotion(r.StreamTerm, i)
			return r, nil
		}, answer(evPromoted))
	case actFollow:
		s.call(v, i, func() (siskin.TargetStatus, error) {
			_, err := st.Follow(s.now, store.Leader{ID: a.primary, Term: a.term})
			return siskin.TargetStatus{}, err
		}, func(siskin.TargetStatus, error) {})
	case actDrain:
		s.call(v, i, func() (siskin.TargetStatus, error) { return st.Drain(s.now, s.now.Add(a.hold)), nil }, answer(evDrained))
	case actCatchUp:
		v.awaitCatchUp(a, i, answer(evCaughtUp))
	}
}

func (v *simVM) awaitCatchUp(a action, i int, answer func(siskin.TargetStatus, error)) {
	st := v.sim.stores[i]
	v.sim.call(v, i, func() (siskin.TargetStatus, error) { return st.Status(v.sim.now), nil }, func(r siskin.TargetStatus, err error) {
		if err == nil && r.StreamTerm == a.pos.Term && r.Received < a.pos.LSN {
			v.sim.onNode(v.node, 10*time.Millisecond, func() { v.awaitCatchUp(a, i, answer) })
			return
		}
		answer(r, err)
	})
}

// write commits one key at the primary that the VM knows and waits for its
// confirmation.
func (v *simVM) write() {
	s := v.sim
	i := slices.Index(s.ids, v.machine.primary)
	if i < 0 || len(v.pending) > 50 {
		return
	}
	v.writes++
	key := fmt.Sprintf("%s-%d-%d", v.id, v.incarnation, v.writes)
	var pos siskin.Position
	s.call(v, i, func() (siskin.TargetStatus, error) {
		if err := s.stores[i].Begin(s.now); err != nil {
			return siskin.TargetStatus{}, err
		}
		defer s.stores[i].End()
		var err error
		pos, err = s.stores[i].Commit([]store.Op{{Key: key}})
		return siskin.TargetStatus{}, err
	}, func(_ siskin.TargetStatus, err error) {
		if err == nil {
			v.pending[key] = v.tracker.add(pos, s.now)
			v.collectResults()
		} else if !errors.Is(err, errNoAnswer) {
			v.step(event{kind: evFailureReported, target: s.ids[i]})
		}
	})
}

// collectResults records the commits that were confirmed or failed and gives up
// on old ones.
func (v *simVM) collectResults() {
	for _, key := range slices.Sorted(maps.Keys(v.pending)) {
		w := v.pending[key]
		select {
		case ok := <-w.result:
			delete(v.pending, key)
			if ok {
				v.sim.acked[key] = w.pos
			}
		default:
			if v.sim.now.Sub(w.arrived) > 3*time.Second {
				v.tracker.remove(w)
				delete(v.pending, key)
			}
		}
	}
}
