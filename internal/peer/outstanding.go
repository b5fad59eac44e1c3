package peer

import "sync"

// outstanding holds the requests of a connection that wait for a response.
type outstanding struct {
	mu      sync.Mutex
	methods map[uint64]string // by sequence number
}

func newOutstanding() *outstanding { return &outstanding{methods: make(map[uint64]string)} }

func (o *outstanding) add(seq uint64, method string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.methods[seq] = method
}

// remove removes a request, and reports whether it was waiting for a response of
// this method.
func (o *outstanding) remove(seq uint64, method string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, ok := o.methods[seq]
	delete(o.methods, seq)
	return ok && m == method
}
