package entry

import (
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/pacer"
)

// returnTimes assigns the times after which refused requests return, for each
// service. It is safe for concurrent use.
type returnTimes struct {
	origin time.Time
	// random returns a number from 0 to 1.
	random func() float64

	mu       sync.Mutex
	services map[siskin.ServiceName]*pacer.Pacer
}

// returning describes a refused request that is to return.
type returning struct {
	Service siskin.ServiceName
	Class   siskin.PriorityClass
	// Ready is the time until the service is expected to serve requests again,
	// and Interval the time that it then takes for each request of this VM.
	Ready, Interval time.Duration
	// Limit is the time for which an answer is of use to the caller.
	Limit time.Duration
}

func newReturnTimes(origin time.Time, random func() float64) *returnTimes {
	return &returnTimes{origin: origin, random: random, services: make(map[siskin.ServiceName]*pacer.Pacer)}
}

// book returns the time after which a request returns. It is zero if that time
// is unknown, or if the answer would be of no use then.
//
// It responds to the load of a crowd that is refused within a short time and
// would otherwise return at one moment. Each VM assigns times to the requests
// that it refused itself; a random part of an interval keeps the first ones of
// all VMs apart.
func (r *returnTimes) book(now time.Time, b returning) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.services[b.Service]
	if p == nil {
		p = &pacer.Pacer{}
		r.services[b.Service] = p
	}
	jitter := time.Duration(r.random() * float64(b.Interval))
	after, ok := p.Book(now.Sub(r.origin), b.Class, b.Ready, b.Interval, b.Limit-jitter)
	if !ok {
		return 0
	}
	return after + jitter
}

// connectionTime is the time that a target takes to open a connection, which
// occupies a slot. It is the assumed time of a statement without a measurement,
// since most connections are opened again after an outage.
const connectionTime = 12 * time.Millisecond

// startInterval returns the time between two requests of this VM that a target
// can start, if its slots are shared equally by the given number of VMs and a
// statement takes the given time.
func startInterval(took time.Duration, slots, vms int) time.Duration {
	if took == 0 {
		took = connectionTime
	}
	return took * time.Duration(max(vms, 1)) / time.Duration(max(slots, 1))
}
