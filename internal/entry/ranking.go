package entry

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

// rankingAge is the time for which the speeds of the targets of a large service
// are used without comparing all of them again. A report is older than that in
// most cases.
const rankingAge = 20 * time.Millisecond

// ranking holds how the targets of a large service compared a moment ago. A
// read then looks at two of them only. It is safe for concurrent use.
type ranking struct {
	mu        sync.Mutex
	at        time.Time // of the comparison
	entries   []rankedTarget
	total     float64 // of 1/factor
	ownWeight float64
}

type rankedTarget struct {
	id     siskin.TargetID
	index  int // in the list of targets
	factor float64
}

// store keeps the result of a comparison.
func (s *ranking) store(c *candidates, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at, s.ownWeight, s.total, s.entries = now, c.ownWeight, 0, s.entries[:0]
	for i := range c.list {
		s.entries = append(s.entries, rankedTarget{c.list[i].id, c.list[i].index, c.speeds[i].Factor})
		s.total += 1 / c.speeds[i].Factor
	}
}

// drawTwo returns two random targets, which may be the same. ok is false if the
// comparison is too old.
func (s *ranking) drawTwo(random func() float64, now time.Time) (two [2]rankedTarget, ownWeight float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) == 0 || now.Sub(s.at) >= rankingAge {
		return two, 0, false
	}
	for i := range two {
		two[i] = s.draw(random())
	}
	return two, s.ownWeight, true
}

// draw returns a random target. Targets are drawn by their speed, since slow ones
// drawn as often as fast ones would be overloaded first.
func (s *ranking) draw(random float64) rankedTarget {
	left := random * s.total
	for i := range s.entries {
		if left -= 1 / s.entries[i].factor; left < 0 {
			return s.entries[i]
		}
	}
	return s.entries[len(s.entries)-1]
}

// betterOfTwo returns the cheaper of two random targets, so that VMs with the
// same data do not all choose the same target. It is empty if neither can be
// used or no comparison is known.
func (c *targetSelector) betterOfTwo() siskin.TargetID {
	two, ownWeight, ok := c.Ranking.drawTwo(c.Random, c.Now)
	if !ok {
		return ""
	}
	var best siskin.TargetID
	var least float64
	for _, e := range two {
		if e.index >= len(c.Targets) || c.Targets[e.index].ID != e.id || !c.usable(&c.Targets[e.index]) {
			continue // the list of targets has changed
		}
		view := c.View(e.id)
		one := c.candidate(&c.Targets[e.index], &view)
		if one.blocked || one.failing {
			continue
		}
		if cost := one.cost(e.factor, ownWeight); best == "" || cost < least {
			best, least = e.id, cost
		}
	}
	return best
}

// rankingKey names the reads of a class at a service.
type rankingKey struct {
	service siskin.ServiceName
	class   siskin.PriorityClass
}

func (e *Entry) ranking(r *siskin.RouteSpec) *ranking {
	return e.rankings.GetOrCreate(rankingKey{r.Service, r.Class.Valid()}, func() *ranking { return new(ranking) })
}
