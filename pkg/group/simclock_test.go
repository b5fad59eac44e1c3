package group

import (
	"container/heap"
	"time"
)

type task struct {
	at  time.Time
	seq int
	f   func()
}

type taskQueue []task

func (q taskQueue) Len() int { return len(q) }

func (q taskQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }
func (q *taskQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *sim) after(d time.Duration, f func()) {
	s.sequence++ // tasks and sessions share one counter
	heap.Push(&s.queue, task{s.now.Add(d), int(s.sequence), f})
}

// onNode runs f on a node after d, or at the end of the node's pause if that is
// later.
func (s *sim) onNode(node int, d time.Duration, f func()) {
	s.after(d, func() {
		if wait := s.pausedUntil[node].Sub(s.now); wait > 0 {
			s.onNode(node, wait, f)
			return
		}
		f()
	})
}

func (s *sim) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func (s *sim) every(node int, low, high time.Duration, f func()) {
	s.onNode(node, s.randomDuration(low, high), func() { f(); s.every(node, low, high, f) })
}
