package burn

import "time"

// ring is a ring buffer of the most recent time buckets. The number of a bucket
// is the time since the Unix epoch divided by the width.
type ring[T any] struct {
	width  time.Duration
	newest int64
	slots  []slot[T]
}

type slot[T any] struct {
	number int64 // 0 if the slot was never used
	value  T
}

func newRing[T any](width time.Duration, buckets int) ring[T] {
	return ring[T]{width: width, slots: make([]slot[T], buckets)}
}

// at returns the bucket of now. If the clock was set back, it returns the newest
// bucket, so that no count is lost.
func (r *ring[T]) at(now time.Time) *T {
	n := max(now.UnixNano()/int64(r.width), r.newest)
	r.newest = n
	s := &r.slots[n%int64(len(r.slots))]
	if s.number != n {
		*s = slot[T]{number: n}
	}
	return &s.value
}

// each calls visit for the used buckets of the window that ends with the bucket
// of now.
func (r *ring[T]) each(now time.Time, window time.Duration, visit func(start time.Time, value *T)) {
	last := max(now.UnixNano()/int64(r.width), r.newest)
	for n := last - int64(window/r.width) + 1; n <= last; n++ {
		if s := &r.slots[n%int64(len(r.slots))]; s.number == n {
			visit(time.Unix(0, n*int64(r.width)), &s.value)
		}
	}
}
