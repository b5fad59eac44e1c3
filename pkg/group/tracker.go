package group

import (
	"container/heap"
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// tracker records which replicas have received the log of the newest term and
// releases waiting commits.
//
// A replica's report of a position in a term remains valid for the whole term:
// the replica has the record, and once claimed for a later term it accepts no
// more records of the earlier one. So reports made at different times can be
// combined.
type tracker struct {
	mu          sync.Mutex
	ackReplicas int // confirmations that a commit needs
	quorum      int // claims that fence a term
	targetIDs   []siskin.TargetID
	term        siskin.Term
	received    []siskin.LSN  // by target, the position received as a replica in term
	claims      []siskin.Term // by target, the highest claim reported
	waiting     waitHeap
	notify      []chan struct{} // by target, signaled when a commit waits for it
	scratch     []siskin.LSN
	terms       []siskin.Term
	// countAnyTerm counts positions received in any term, for tests with broken
	// rules.
	countAnyTerm bool
}

// waiter is one commit that waits for its confirmation.
type waiter struct {
	pos     siskin.Position
	arrived time.Time
	result  chan bool // receives whether the commit is confirmed
	index   int       // index in the heap; -1 after removal
}

func newTracker(s *Settings) *tracker {
	n := len(s.Members)
	t := &tracker{
		ackReplicas: s.AckReplicas, quorum: s.quorum(), received: make([]siskin.LSN, n), claims: make([]siskin.Term, n),
	}
	for _, m := range s.Members {
		t.targetIDs = append(t.targetIDs, m.ID)
		t.notify = append(t.notify, make(chan struct{}, 1))
	}
	return t
}

// observe records a target's status.
func (t *tracker) observe(st siskin.TargetStatus) {
	i := slices.Index(t.targetIDs, st.ID)
	if i < 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.claims[i] = max(t.claims[i], st.ClaimedTerm)
	t.advanceTermLocked(st.StreamTerm)
	if st.Role == siskin.RoleReplica && (st.StreamTerm == t.term || t.countAnyTerm) {
		t.received[i] = max(t.received[i], st.Received)
	}
	t.releaseLocked()
}

// advanceTermLocked starts a later term, in which no position has been
// received.
func (t *tracker) advanceTermLocked(term siskin.Term) {
	if term > t.term {
		t.term = term
		clear(t.received)
	}
}

// confirmedLocked returns the newest position that ackReplicas replicas have
// received.
func (t *tracker) confirmedLocked() siskin.Position {
	t.scratch = append(t.scratch[:0], t.received...)
	slices.Sort(t.scratch)
	return siskin.Position{Term: t.term, LSN: t.scratch[len(t.scratch)-t.ackReplicas]}
}

// fencedLocked returns the highest term claimed at a quorum of targets, by
// their reports. No commit of an older term is acknowledged any more.
func (t *tracker) fencedLocked() siskin.Term {
	t.terms = append(t.terms[:0], t.claims...)
	slices.Sort(t.terms)
	return t.terms[len(t.terms)-t.quorum]
}

// releaseLocked releases the commits that are confirmed or can no longer be.
func (t *tracker) releaseLocked() {
	if len(t.waiting) == 0 {
		return
	}
	confirmed, fenced := t.confirmedLocked(), t.fencedLocked()
	for len(t.waiting) > 0 {
		w := t.waiting[0]
		switch {
		case w.pos.Term < max(t.term, fenced):
			heap.Pop(&t.waiting)
			w.result <- false
		case w.pos.Term == confirmed.Term && w.pos.LSN <= confirmed.LSN && confirmed.LSN > 0:
			// Position 0 means that there is no report, so it confirms nothing.
			ackedInTerm.Check(w.pos.Term >= fenced, "ack in term %d, fenced by %d", w.pos.Term, fenced)
			heap.Pop(&t.waiting)
			w.result <- true
		default:
			return
		}
	}
}

// add registers a waiting commit. Its result channel is buffered.
func (t *tracker) add(pos siskin.Position, now time.Time) *waiter {
	w := &waiter{pos: pos, arrived: now, result: make(chan bool, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceTermLocked(pos.Term)
	heap.Push(&t.waiting, w)
	t.releaseLocked()
	if w.index >= 0 {
		for _, ch := range t.notify {
			signal(ch)
		}
	}
	return w
}

// remove unregisters a commit whose caller no longer waits.
func (t *tracker) remove(w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&t.waiting, w.index)
	}
}

// lowestAwaited returns the lowest position that commits need target i to
// receive.
func (t *tracker) lowestAwaited(i int) (siskin.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 && t.waiting[0].pos.Term == t.term && t.waiting[0].pos.LSN > t.received[i] {
		return t.waiting[0].pos, true
	}
	var best *waiter
	for _, w := range t.waiting {
		if w.pos.Term == t.term && w.pos.LSN > t.received[i] && (best == nil || w.pos.LSN < best.pos.LSN) {
			best = w
		}
	}
	if best == nil {
		return siskin.Position{}, false
	}
	return best.pos, true
}

// oldestArrival returns the arrival time of the commit with the lowest
// position; zero if none waits.
func (t *tracker) oldestArrival() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		return time.Time{}
	}
	return t.waiting[0].arrived
}

// canConfirm reports whether a write of term could be confirmed: the term has
// been neither replaced nor fenced by a quorum.
func (t *tracker) canConfirm(term siskin.Term) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return term >= max(t.term, t.fencedLocked())
}

// confirmed returns the newest position that ackReplicas replicas have received.
func (t *tracker) confirmed() siskin.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedLocked()
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default: // a signal is already pending
	}
}
