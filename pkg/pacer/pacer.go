// Package pacer assigns return times to refused requests, so that a crowd that
// was refused at one moment does not return at one moment.
package pacer

import (
	"time"

	"siskintray.example/siskin"
)

// Pacer counts the requests that were told when to return, by class. Times are
// durations since an origin that the caller chooses. The zero value is ready to
// use. It is not safe for concurrent use.
type Pacer struct {
	promised [siskin.PriorityClasses]float64
	at       time.Duration // time up to which promised is reduced
	interval time.Duration // of the last Book
}

// Book returns the time to wait before a request of the given class returns,
// and counts it among those that were promised a place. Capacity is free from
// ready on, and then for one request in each interval. Requests of more urgent
// classes come first. A request that could return only after limit is not
// counted, and the result is false.
func (p *Pacer) Book(now time.Duration, class siskin.PriorityClass, ready, interval, limit time.Duration) (after time.Duration, ok bool) {
	after = ready + time.Duration(p.Ahead(now, class)*float64(interval))
	if after > limit {
		return 0, false
	}
	p.promised[class.Valid()]++
	p.interval = interval
	if p.Ahead(now, siskin.LeastUrgent) <= 1 {
		// Nobody returns before capacity is free. Later bookings leave this time
		// as it is: a refused crowd would otherwise put it off for good.
		p.at = max(p.at, now+ready)
	}
	return after, true
}

// expire removes the requests that have returned by now, most urgent first.
func (p *Pacer) expire(now time.Duration) {
	if now <= p.at {
		return
	}
	returned := float64(now-p.at) / float64(max(p.interval, 1))
	p.at = now
	for i := range p.promised {
		n := min(returned, p.promised[i])
		p.promised[i] -= n
		returned -= n
	}
}

// Ahead returns the number of requests of the class and of more urgent ones that
// are still to return.
func (p *Pacer) Ahead(now time.Duration, class siskin.PriorityClass) float64 {
	p.expire(now)
	ahead := 0.0
	for _, n := range p.promised[:class.Valid()+1] {
		ahead += n
	}
	return ahead
}
