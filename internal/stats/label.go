package stats

import (
	"sync/atomic"

	"siskintray.example/siskin/pkg/shard"
)

// Other is the label value shared by all names above the limit.
const Other = "other"

// LabelLimiter bounds the number of values of one label. The first values seen
// keep their name; later ones become Other, so that thousands of customers do
// not create thousands of series.
type LabelLimiter struct {
	max       int64
	known     *shard.Map[string, bool] // value: has its own name
	count     atomic.Int64
	overLimit atomic.Int64
}

// NewLabelLimiter returns a limiter for at most limit values besides Other.
func NewLabelLimiter(limit int) *LabelLimiter {
	return &LabelLimiter{max: int64(limit), known: shard.New[string, bool]()}
}

// Value returns the label value for name: the name itself, or Other. It does not
// allocate for a name that has its own value.
func (l *LabelLimiter) Value(name string) string {
	if own, ok := l.known.Get(name); ok && own {
		return name
	}
	// Names above the limit are not recorded, so that memory stays bounded.
	if l.count.Load() >= l.max {
		l.overLimit.Add(1)
		return Other
	}
	own := l.known.GetOrCreate(name, func() bool { return l.count.Add(1) <= l.max })
	if !own {
		l.known.Delete(name)
		l.count.Add(-1)
		return Other
	}
	return name
}
