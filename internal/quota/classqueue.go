package quota

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/pacer"
)

// maxPasses bounds the tokens that go to more urgent classes while requests of a
// less urgent one are refused. After that, the next token is reserved for it.
const maxPasses = 8

// classQueue orders the requests for the tokens of one pool by class. A request
// that a token will reach in time is told when to ask again; it keeps its place
// among those that wait, which ask at the speed at which tokens accrue.
type classQueue struct {
	demand  classDemand
	returns pacer.Pacer
	origin  time.Time // of the times of returns
	// passed counts the tokens that went to more urgent classes since requests of
	// the class are refused, and refusedAt is when the last one was.
	passed    [siskin.PriorityClasses]float64
	refusedAt [siskin.PriorityClasses]time.Time
}

// reserve returns the tokens of a pool of the given size that a request of the
// class leaves to others.
func (q *classQueue) reserve(now time.Time, class siskin.PriorityClass, size float64) float64 {
	reserved := 0.0
	if !q.isOwed(now, class) {
		reserved = reserveOf(&q.demand, now, class, size)
	}
	for c := class + 1; c < siskin.PriorityClasses; c++ {
		if q.isOwed(now, c) {
			reserved++
		}
	}
	return reserved
}

// isOwed reports whether the class has been passed over for too long. Requests
// that were refused longer ago than demandTime do not count.
func (q *classQueue) isOwed(now time.Time, class siskin.PriorityClass) bool {
	return q.passed[class] >= maxPasses && now.Sub(q.refusedAt[class]) < demandTime
}

// ahead returns the number of requests that have a place before a new one of the
// class.
func (q *classQueue) ahead(now time.Time, class siskin.PriorityClass) float64 {
	return q.returns.Ahead(q.since(now), class)
}

// since returns a time as the pacer counts it.
func (q *classQueue) since(now time.Time) time.Duration {
	if q.origin.IsZero() {
		q.origin = now
	}
	return now.Sub(q.origin)
}

// granted records that n tokens went to requests of the class.
func (q *classQueue) granted(now time.Time, class siskin.PriorityClass, n float64) {
	q.passed[class], q.refusedAt[class] = 0, time.Time{}
	for c := class + 1; c < siskin.PriorityClasses; c++ {
		if now.Sub(q.refusedAt[c]) < demandTime {
			q.passed[c] += n
		}
	}
}

// refused records that a request of the class got no token.
func (q *classQueue) refused(now time.Time, class siskin.PriorityClass) {
	if now.Sub(q.refusedAt[class]) >= demandTime {
		q.passed[class] = 0
	}
	q.refusedAt[class] = now
}

// wait answers a request that gets no token now. The next one is free at ready,
// and then one in each interval.
func (q *classQueue) wait(now time.Time, args *TakeArgs, ready, interval time.Duration) TakeReply {
	if args.Returning {
		return TakeReply{RetryAfter: ready, Return: ready <= args.Wait}
	}
	class := args.Class.Valid()
	if args.Wait > 0 {
		if after, ok := q.returns.Book(q.since(now), class, ready, interval, args.Wait); ok {
			return TakeReply{RetryAfter: after, Return: true}
		}
	}
	return TakeReply{RetryAfter: max(minRetryAfter, ready+time.Duration(q.ahead(now, class)*float64(interval)))}
}
