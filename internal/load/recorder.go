package load

import "sync"

// recorderShards keeps callers from contending for one lock.
const recorderShards = 32

// Recorder collects the events of a run.
type Recorder struct {
	shards [recorderShards]eventShard
}

type eventShard struct {
	mu       sync.Mutex
	events   []Event
	breaches []string
}

// Add records an event of the caller with the given number.
func (r *Recorder) Add(caller int, e Event) {
	s := &r.shards[caller%recorderShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

// Breach records a broken promise.
func (r *Recorder) Breach(caller int, text string) {
	s := &r.shards[caller%recorderShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaches = append(s.breaches, text)
}

// Events returns all events so far, in no order.
func (r *Recorder) Events() []Event {
	var all []Event
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		all = append(all, s.events...)
		s.mu.Unlock()
	}
	return all
}

// Breaches returns the broken promises that callers saw.
func (r *Recorder) Breaches() []string {
	var all []string
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		all = append(all, s.breaches...)
		s.mu.Unlock()
	}
	return all
}
