package fairq

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
)

var (
	invPlaces  = invar.New("FairqRunningWithinPlaces")
	invWaiting = invar.New("FairqWaitingWithinBound")
)

// sched is the scheduler: it decides which request runs next. Times are
// durations since an origin that the caller chooses. It is not safe for
// concurrent use.
type sched struct {
	settings
	places  int
	running int
	waiting int
	// backlogWeight is the sum of the weights of flows with waiting requests.
	backlogWeight int
	open          ticketList // waiting statements of open transactions
	openStarts    int        // starts of such statements since the last one of a new request
	flows         *flowTable
	wheel         wheel
	// deferred is the flow that may not start requests because of the reserve.
	// There is at most one, since only one flow can use more than half of the
	// places.
	deferred *flow
	cost     ewma // over all new requests
	openCost ewma // over all statements of open transactions
	// prioritized is set once a request of another class than 0 has come.
	prioritized bool
	freeTickets *ticket
	idle        idleList
	recent      [2]arrival // the latest requests of the two most recent customers
	entering    *ticket    // the ticket that enter is deciding on
}

// arrival is the latest request of one customer.
type arrival struct {
	flow *flow
	at   time.Duration
}

func newSched(places int, s settings) *sched {
	return &sched{
		settings: s, places: places, flows: newFlowTable(),
		wheel: wheel{round: 1}, // 0 is the creditedRound of a new flow
	}
}

// enter adds a request. The ticket is running or waiting; it is nil when the
// request is refused.
func (s *sched) enter(now time.Duration, id siskin.CustomerID, weight int, class siskin.PriorityClass, deadline time.Duration) (*ticket, refusal) {
	f := s.flow(now, id, weight)
	s.noteArrival(f, now)
	s.prioritized = s.prioritized || class > 0
	victim, r := s.checkAdmission(f, now, class, deadline)
	if r.reason != "" {
		s.pace(f, now, class, &r)
		s.markIdle(f, now)
		return nil, r
	}
	t := s.newTicket()
	t.flow, t.state, t.class = f, ticketWaiting, class
	t.startDeadline = min(deadline, now+s.maxWait)
	f.push(t)
	s.waiting++
	if f.waiting == 1 {
		s.backlogWeight += f.weight
		f.lastStarted, f.startInterval = 0, ewma{}
		f.creditElapsedRounds(s.wheel.round)
		s.schedule(f)
	}
	if victim != nil {
		s.displace(victim)
	}
	s.wheel.reorder(f)
	s.entering = t
	s.dispatch(now)
	s.entering = nil
	if s.waiting > s.maxTotal { // the call allocates, so it is made on a violation only
		invWaiting.Check(false, "%d waiting, bound %d", s.waiting, s.maxTotal)
	}
	return t, refusal{}
}

// leave ends a running request and replaces the estimated charge by its measured
// service time.
func (s *sched) leave(now time.Duration, t *ticket) {
	f, took := t.flow, now-t.started
	f.running--
	s.running--
	if t.open {
		s.openCost.add(took)
	} else {
		f.cost.add(took)
		s.cost.add(took)
	}
	f.deficit -= took - t.charged
	s.recycle(t)
	s.markIdle(f, now)
	s.dispatch(now)
}

// cancel removes a waiting request whose caller no longer waits.
func (s *sched) cancel(now time.Duration, t *ticket) {
	f := t.flow
	if t.open {
		s.unqueueOpen(t)
	} else {
		s.unqueue(f, t)
	}
	s.recycle(t)
	s.markIdle(f, now)
}

// unqueue takes a waiting ticket out of its flow.
func (s *sched) unqueue(f *flow, t *ticket) {
	f.remove(t)
	s.waiting--
	if f.waiting > 0 {
		s.wheel.reorder(f)
		return
	}
	s.backlogWeight -= f.weight
	f.deficitRound = s.wheel.round
	if s.deferred == f {
		s.deferred = nil
	}
	if f.inWheel {
		s.wheel.remove(f)
		f.revokeFutureRounds(s.wheel.round)
	}
}

// setPlaces changes the number of places. Requests that run already keep theirs.
func (s *sched) setPlaces(now time.Duration, n int) {
	s.places = max(n, 1)
	s.dispatch(now)
}

func (s *sched) noteArrival(f *flow, now time.Duration) {
	if s.recent[0].flow != f {
		s.recent[1] = s.recent[0]
	}
	s.recent[0] = arrival{f, now}
}

func (s *sched) newTicket() *ticket {
	t := s.freeTickets
	if t == nil {
		return &ticket{ready: make(chan struct{}, 1)}
	}
	s.freeTickets, t.next = t.next, nil
	return t
}

func (s *sched) recycle(t *ticket) {
	t.gen++
	t.state, t.flow, t.class, t.open = ticketFree, nil, 0, false
	t.next, s.freeTickets = s.freeTickets, t
}
