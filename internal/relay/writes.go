package relay

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// activeWrites holds the write transactions in progress, so that those on a
// replaced primary can be aborted.
type activeWrites struct {
	running *shard.Map[*localExecutor, struct{}]
	// newestTerms holds, by service, the newest term passed to EndWritesBefore.
	newestTerms *shard.Map[siskin.ServiceName, siskin.Term]
}

func newWrites() activeWrites {
	return activeWrites{
		running:     shard.New[*localExecutor, struct{}](),
		newestTerms: shard.New[siskin.ServiceName, siskin.Term](),
	}
}

// add records a write on the primary of a term. It reports false if that
// primary was already replaced.
func (w *activeWrites) add(l *localExecutor, term siskin.Term) bool {
	l.term = term
	w.running.Put(l, struct{}{})
	// EndWritesBefore stores the term before it iterates over the writes, so
	// either this check or that iteration sees the other's update.
	newest, _ := w.newestTerms.Get(l.hdr.Service)
	return newest <= term
}

func (w *activeWrites) remove(l *localExecutor) {
	if l.term != 0 {
		w.running.Delete(l)
	}
}

// EndWritesBefore aborts the writes of a service on primaries of earlier terms:
// with NotRun if nothing was sent, otherwise with OutcomeUnknown.
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
