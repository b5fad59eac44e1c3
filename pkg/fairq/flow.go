package fairq

import (
	"time"

	"siskintray.example/siskin"
)

// quantum is the service time that a customer of weight 1 earns per round. It
// is below the usual statement, so that customers interleave finely.
const quantum = 250 * time.Microsecond

// flow is the queue and the account of one customer.
type flow struct {
	id     siskin.CustomerID
	weight int

	first, last *ticket
	waiting     int
	running     int

	// deficit is the service time that the flow may still use; a negative value
	// is a debt. While the flow is not filed it is stated as of round asOf.
	deficit time.Duration
	asOf    uint64
	// earned is the latest round whose quantum the flow got. Without it, a
	// customer whose queue empties after each short request would get a quantum
	// each time and the round would never end.
	earned uint64

	filed      bool
	round      uint64
	prev, next *flow // neighbors in a wheel bucket, or in the idle list
	idle       bool
	idleSince  time.Duration

	cost ewma // service time of one request
	pace ewma // time between two starts while requests wait
	// lastStart is the time of the latest start; zero at the start of a backlog.
	lastStart time.Duration
}

func (f *flow) earning() time.Duration { return quantum * time.Duration(f.weight) }

func (f *flow) push(t *ticket) {
	t.prev, t.next = f.last, nil
	if f.last == nil {
		f.first = t
	} else {
		f.last.next = t
	}
	f.last = t
	f.waiting++
}

func (f *flow) remove(t *ticket) {
	if t.prev == nil {
		f.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		f.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next = nil, nil
	f.waiting--
}

// repay credits a flow that was not filed for the rounds between asOf and the
// present one, up to the end of its debt: an idle customer saves up no credit.
func (f *flow) repay(round uint64) {
	if round == f.asOf {
		return
	}
	passed := round - f.asOf - 1
	f.asOf = round
	switch {
	case f.deficit >= 0 || passed >= uint64(-f.deficit/f.earning())+1:
		f.deficit = 0
	default:
		f.deficit += time.Duration(passed) * f.earning()
	}
}

// unearn takes back the quanta of rounds that lie ahead, for a flow that
// leaves the wheel before its round.
func (f *flow) unearn(round uint64) {
	if f.round > round {
		f.deficit -= time.Duration(f.round-round) * f.earning()
		f.earned = round
	}
}
