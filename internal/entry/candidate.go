package entry

import (
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/speed"
	"siskintray.example/siskin/internal/views"
)

const (
	// trialShare is the part of the reads of a service that go to a target which
	// would get too few otherwise, because it was clearly slower than the others
	// or failed. It finds out whether that is over.
	trialShare = 0.03
	// trialGap is the difference of costs, in statements, from which a slow
	// target gets too few reads. At high load it gets its part without trials.
	trialGap = 0.5
	// fewTargets is the number of targets of a service up to which all are
	// compared for each read.
	fewTargets = 8
	// farFactor is the factor from which the time of a read at a slow target
	// counts in full at any load: its capacity is not worth the time.
	farFactor = 3.0
	// minDistance is the least difference of distances that counts. Data centres
	// are less than that apart, and a busy VM answers as much later now and
	// then.
	minDistance = 5 * time.Millisecond
	// failingBias is added to the cost of a target that fails too many
	// statements. Such a target is used only for trials or when there is no
	// other.
	failingBias = 100.0
)

// candidate is a usable target and the parts of its cost, in statements at the
// middle target of the service.
type candidate struct {
	id    siskin.TargetID
	index int // in the list of targets
	// load is the number of statements per slot that wait or run there.
	load float64
	// bias is the cost that does not depend on the target's speed.
	bias     float64
	distance time.Duration
	// blocked is set if not even a trial may use the target.
	blocked bool
	failing bool
	// busy is set if a statement runs or waits there, which will tell the time
	// without a trial.
	busy  bool
	notes []string // what adds to the bias, if that is to be explained
}

// cost returns the expected time to the answer in statements at the middle
// target, less that of a statement there: the wait and the read itself take
// longer at a slow target. With the factor 1 it is load plus bias. The weight of
// the read's own time applies to the factors up to farFactor.
func (c *candidate) cost(factor, ownWeight float64) float64 {
	own := ownWeight*(min(factor, farFactor)-1) + max(factor-farFactor, 0)
	return c.load*factor + own + c.bias
}

// candidates holds the usable targets of a service. Figures are kept in a list
// of their own, in the same order.
type candidates struct {
	list   []candidate
	speeds []speed.Comparison
	random func() float64
	// ownWeight is the weight of the time of the read itself.
	ownWeight float64
}

// candidatePool holds lists for reuse, so that a choice does not allocate.
var candidatePool = sync.Pool{New: func() any { return new(candidates) }}

func (c *candidates) reset(random func() float64) {
	c.list, c.speeds, c.random = c.list[:0], c.speeds[:0], random
}

func (c *candidates) add(t candidate, view *views.Target, k speed.Kind, now time.Time) {
	t.distance = view.Speed.DistanceNow(now)
	c.list = append(c.list, t)
	c.speeds = append(c.speeds, speed.Comparison{Figures: view.Speed.Times[k]})
}

// compare compares the speeds of the targets and adds their distances.
func (c *candidates) compare(now time.Time) {
	middle := speed.Compare(c.speeds, now)
	c.addDistances(middle)
	c.ownWeight = c.weighOwn()
}

// weighOwn returns the weight of the time of the read itself. While slots are
// free, it is the time to the answer. When all are in use, reads that avoid a
// slow target wait elsewhere, and the targets are to be used to the same degree.
func (c *candidates) weighOwn() float64 {
	sum := 0.0
	for i := range c.list {
		sum += c.list[i].load
	}
	free := 1 - sum/float64(len(c.list))
	return min(max(2*free, -0.75), 1)
}

func (c *candidates) cost(i int) float64 { return c.list[i].cost(c.speeds[i].Factor, c.ownWeight) }

func (c *candidates) cheapest() int {
	best, least := 0, c.cost(0)
	for i := 1; i < len(c.list); i++ {
		if cost := c.cost(i); cost < least {
			best, least = i, cost
		}
	}
	return best
}

// addDistances adds the time to the target where it differs clearly from that to
// the nearest one.
func (c *candidates) addDistances(middle time.Duration) {
	if middle <= 0 {
		return
	}
	nearest := c.list[0].distance
	for i := range c.list {
		nearest = min(nearest, c.list[i].distance)
	}
	for i := range c.list {
		if t := &c.list[i]; t.distance-nearest > max(minDistance, middle/4) {
			t.bias += float64(t.distance-nearest) / float64(middle)
		}
	}
}

// trial returns a random one of the slow or failing targets that need a trial,
// or an empty ID if there is none.
func (c *candidates) trial() siskin.TargetID {
	n, limit := 0, c.cost(c.cheapest())+trialGap
	for i := range c.list {
		if c.needsTrial(i, limit) {
			n++
		}
	}
	if n == 0 {
		return ""
	}
	pick := int(c.random() * float64(n))
	for i := range c.list {
		if !c.needsTrial(i, limit) {
			continue
		}
		if pick--; pick < 0 {
			return c.list[i].id
		}
	}
	return ""
}

// needsTrial reports whether a slow or failing target costs more than the given
// limit, so that it would get too few reads.
func (c *candidates) needsTrial(i int, limit float64) bool {
	t := &c.list[i]
	return !t.blocked && !t.busy && (t.failing || c.speeds[i].Factor > 1) && c.cost(i) > limit
}
