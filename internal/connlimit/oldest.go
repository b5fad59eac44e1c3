package connlimit

import (
	"container/list"
	"io"
	"sync"
	"sync/atomic"
)

// Oldest closes the oldest of its connections when there are more than a maximum.
// Newer ones are then served while others that never finish their first message hold
// their places. It is safe for concurrent use.
type Oldest struct {
	maximum int
	closed  atomic.Int64

	mu    sync.Mutex
	order *list.List // of io.Closer, the oldest first
	known map[io.Closer]*list.Element
}

// NewOldest returns an empty Oldest.
func NewOldest(maximum int) *Oldest {
	return &Oldest{maximum: max(1, maximum), order: list.New(), known: make(map[io.Closer]*list.Element)}
}

// Add adds a connection, which must be comparable, and closes the oldest one if there
// are too many.
func (o *Oldest) Add(c io.Closer) {
	if old := o.add(c); old != nil {
		o.closed.Add(1)
		_ = old.Close() // its reader ends with an error
	}
}

func (o *Oldest) add(c io.Closer) (old io.Closer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[c] = o.order.PushBack(c)
	if o.order.Len() <= o.maximum {
		return nil
	}
	old = o.order.Remove(o.order.Front()).(io.Closer)
	delete(o.known, old)
	return old
}

// Remove removes a connection that is finished or closed. It may be called again.
func (o *Oldest) Remove(c io.Closer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := o.known[c]; ok {
		o.order.Remove(e)
		delete(o.known, c)
	}
}

// Closed returns how many connections were closed because there were too many.
func (o *Oldest) Closed() int64 { return o.closed.Load() }
