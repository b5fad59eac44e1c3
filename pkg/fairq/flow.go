package fairq

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/pacer"
)

// quantum is the service time that a customer of weight 1 is credited per
// round. It is shorter than the usual statement, so that customers interleave
// finely.
const quantum = 250 * time.Microsecond

// flow is the queue of one customer and its account of service time.
type flow struct {
	id     siskin.CustomerID
	weight int

	classes [siskin.PriorityClasses]flowClass
	waiting int // in all classes
	open    int // waiting statements of open transactions
	running int

	// deficit is the service time that the flow may still use; a negative value
	// is a debt. While the flow is not on the wheel, it is the value at round
	// deficitRound.
	deficit      time.Duration
	deficitRound uint64
	// creditedRound is the latest round whose quantum the flow was credited.
	// Without it, a customer whose queue empties after each short request would
	// be credited a quantum each time and the round would never end.
	creditedRound uint64

	inWheel    bool
	wheelClass siskin.PriorityClass // class of the next request when it was put on the wheel
	round      uint64
	prev, next *flow // neighbours in a wheel bucket or in the idle list
	idle       bool
	idleSince  time.Duration

	cost          ewma // service time of one request
	startInterval ewma // time between two starts while requests wait
	returns       pacer.Pacer
	// lastStarted is the time of the latest start in this backlog; zero before it.
	lastStarted time.Duration
}

func (f *flow) roundQuantum() time.Duration { return quantum * time.Duration(f.weight) }

func (f *flow) push(t *ticket) {
	f.classes[t.class].push(t)
	f.waiting++
}

func (f *flow) remove(t *ticket) {
	q := &f.classes[t.class]
	q.remove(t)
	if q.n == 0 {
		q.passed = 0
	}
	f.waiting--
}

// creditElapsedRounds credits a flow that was not on the wheel for the rounds
// between deficitRound and the given one, at most up to a deficit of zero: an
// idle customer accumulates no credit.
func (f *flow) creditElapsedRounds(round uint64) {
	if round == f.deficitRound {
		return
	}
	passed := round - f.deficitRound - 1
	f.deficitRound = round
	switch {
	case f.deficit >= 0 || passed >= uint64(-f.deficit/f.roundQuantum())+1:
		f.deficit = 0
	default:
		f.deficit += time.Duration(passed) * f.roundQuantum()
	}
}

// settle credits a flow that is not on the wheel for the rounds before the given
// one, so that a charge at that round is not offset by earlier ones.
func (f *flow) settle(round uint64) {
	if round > f.deficitRound {
		f.creditElapsedRounds(round)
		f.deficitRound = round - 1
	}
}

// revokeFutureRounds takes back the quanta credited for rounds after the given
// one, for a flow that leaves the wheel before its round.
func (f *flow) revokeFutureRounds(round uint64) {
	if f.round > round {
		f.deficit -= time.Duration(f.round-round) * f.roundQuantum()
		f.creditedRound = round
	}
}
