package spread

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// partSize is the number of documents in one part of the state: 512 of 2 KB
// make a message of 1 MB.
const partSize = 512

// Receiver has the methods that other VMs call over net/rpc. Register it under
// the name "Spread".
type Receiver struct{ s *Spread }

// Receiver returns the receiver of this Spread.
func (s *Spread) Receiver() *Receiver { return &Receiver{s} }

// Push brings in changes and pushes on those that were new.
func (r *Receiver) Push(args PushArgs, reply *PushReply) error {
	for i := range args.Changes {
		if args.Changes[i].Change == nil {
			return siskin.NewError(siskin.BadInput, "push without a change").WithRemedy("send each revision with its change")
		}
	}
	r.s.push(r.s.store.apply(args.Changes))
	reply.Revision = r.s.Revision()
	return nil
}

// Since returns the changes after a revision, or the first part of the state.
func (r *Receiver) Since(args SinceArgs, reply *SinceReply) error {
	s := r.s
	reply.DataCentre = s.members.Self().DataCentre
	reply.Age = s.evidence.Age(s.clock.Now())
	reply.Watcher, reply.PlatformDown = s.isWatcher(), s.platformDown.Load()
	changes, ok := s.store.since(args.Revision)
	st := s.store.state.Load()
	reply.Revision = st.revision
	if !ok {
		reply.Part = partOf(st, 0)
		return nil
	}
	if len(changes) > maxBatch {
		changes = changes[:maxBatch]
	}
	reply.Changes = changes
	return nil
}

// Part returns one part of the state. It fails when a newer revision is in
// force, and the asking VM starts again.
func (r *Receiver) Part(args PartArgs, part *Part) error {
	st := r.s.store.state.Load()
	if st.revision != args.Revision {
		return siskin.NewError(siskin.Conflict, "revision %d is in force, not %d", st.revision, args.Revision).
			WithRemedy("ask for the changes again")
	}
	p := partOf(st, args.Index)
	if args.Index < 0 || args.Index >= p.Count {
		return siskin.NewError(siskin.BadInput, "state has no part %d", args.Index).WithRemedy("ask for parts below Count")
	}
	*part = *p
	return nil
}

// partOf returns a part of the state; services come before customers.
func partOf(st *state, index int) *Part {
	total := len(st.serviceNames) + len(st.customerIDs)
	p := &Part{Revision: st.revision, Index: index, Count: max(1, (total+partSize-1)/partSize), Change: &config.Change{}}
	from := max(index, 0) * partSize
	for i := from; i < min(from+partSize, total); i++ {
		if i < len(st.serviceNames) {
			p.Change.Services = append(p.Change.Services, st.services[st.serviceNames[i]])
		} else {
			p.Change.Customers = append(p.Change.Customers, st.customers[st.customerIDs[i-len(st.serviceNames)]])
		}
	}
	return p
}
