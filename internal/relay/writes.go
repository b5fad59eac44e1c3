package relay

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// activeWrites holds the write transactions in progress, so that those at a replaced
// primary can be ended.
type activeWrites struct {
	running *shard.Map[*localExecutor, struct{}]
	// newestTerms holds the newest term of each service that EndOlder was called with.
	newestTerms *shard.Map[siskin.ServiceName, siskin.Term]
}

func newWrites() activeWrites {
	return activeWrites{
		running:     shard.New[*localExecutor, struct{}](),
		newestTerms: shard.New[siskin.ServiceName, siskin.Term](),
	}
}

// add records a write at the primary of a term. It reports false when that
// primary was replaced already.
func (w *activeWrites) add(l *localExecutor, term siskin.Term) bool {
	l.term = term
	w.running.Put(l, struct{}{})
	// EndOlder sets the term before it looks for writes, so one of the two
	// finds the other.
	newest, _ := w.newestTerms.Get(l.hdr.Service)
	return newest <= term
}

func (w *activeWrites) remove(l *localExecutor) {
	if l.term != 0 {
		w.running.Delete(l)
	}
}

// EndWritesBefore ends the writes of a service at primaries of terms before the given
// one: as not run when nothing was sent, else as outcome unknown.
func (h *Home) EndWritesBefore(service siskin.ServiceName, term siskin.Term) {
	h.activeWrites.newestTerms.Update(service, func(old siskin.Term, _ bool) (siskin.Term, bool) { return max(old, term), true })
	h.activeWrites.running.Range(func(l *localExecutor, _ struct{}) bool {
		if l.hdr.Service == service && l.term < term {
			l.abortReplaced()
		}
		return true
	})
}

func notPrimaryError(hdr *Header) error {
	return siskin.NewError(siskin.NotRun, "target %s is no longer the primary", hdr.Target).
		WithRemedy("repeat the request; it goes to the primary")
}
