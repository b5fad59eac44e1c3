package stats

import (
	"sync/atomic"

	"siskintray.example/siskin/pkg/shard"
)

// Other is the label value that stands for all values above a bound.
const Other = "other"

// LabelLimiter bounds the values of one label. The first values seen keep their name;
// later ones become Other, so that thousands of customers do not make thousands
// of series.
type LabelLimiter struct {
	max       int64
	known     *shard.Map[string, bool] // value: has its own name
	count     atomic.Int64
	overLimit atomic.Int64
}

// NewLabelLimiter returns a label with at most limit values besides Other.
func NewLabelLimiter(limit int) *LabelLimiter {
	return &LabelLimiter{max: int64(limit), known: shard.New[string, bool]()}
}

// Value returns the label value for name. It does not allocate for a name that
// has its own value.
func (l *LabelLimiter) Value(name string) string {
	if own, ok := l.known.Get(name); ok && own {
		return name
	}
	// Names above the bound are not recorded, so that memory stays bounded.
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
