package home

// startWakeups is the number of goroutines that a statement waits for at its
// home before it is sent: one that has a place in the queue, and one that has a
// connection.
const startWakeups = 2

// startsInTime reports whether this VM, which may be overloaded, can start a
// statement in time, and takes its own delay from the time in the queue.
func (h *Homes) startsInTime(req *Request) bool {
	if h.cfg.Lateness == nil {
		return true
	}
	left := req.QueueTimeout - startWakeups*h.cfg.Lateness()
	if left <= 0 {
		return false
	}
	req.QueueTimeout = left
	return true
}
