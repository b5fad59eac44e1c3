package relay

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// writes holds the write transactions in progress, so that those at a replaced
// primary can be ended.
type writes struct {
	running *shard.Map[*local, struct{}]
	// terms holds the newest term of each service that EndOlder was called with.
	terms *shard.Map[siskin.ServiceName, siskin.Term]
}

func newWrites() writes {
	return writes{
		running: shard.New[*local, struct{}](),
		terms:   shard.New[siskin.ServiceName, siskin.Term](),
	}
}

// enter records a write at the primary of a term. It reports false when that
// primary was replaced already.
func (w *writes) enter(l *local, term siskin.Term) bool {
	l.term = term
	w.running.Put(l, struct{}{})
	// EndOlder sets the term before it looks for writes, so one of the two
	// finds the other.
	newest, _ := w.terms.Get(l.hdr.Service)
	return newest <= term
}

func (w *writes) leave(l *local) {
	if l.term != 0 {
		w.running.Delete(l)
	}
}

// EndWritesBefore ends the writes of a service at primaries of terms before the given
// one: as not run when nothing was sent, else as outcome unknown.
func (h *Home) EndWritesBefore(service siskin.ServiceName, term siskin.Term) {
	h.writes.terms.Update(service, func(old siskin.Term, _ bool) (siskin.Term, bool) { return max(old, term), true })
	h.writes.running.Range(func(l *local, _ struct{}) bool {
		if l.hdr.Service == service && l.term < term {
			l.giveUp()
		}
		return true
	})
}

func replacedBefore(hdr *Header) error {
	return siskin.NewError(siskin.NotRun, "target %s is no longer the primary", hdr.Target).
		WithRemedy("repeat the request; it goes to the primary")
}
