package spread

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// confirmInterval is the time between two queries of the collectors.
const confirmInterval = 250 * time.Millisecond

// StatusArgs are the arguments of Spread.Status.
type StatusArgs struct{ From siskin.VMID }

// StatusReply is the reply of Spread.Status.
type StatusReply struct {
	// Revisions are the revisions in force per VM, as known to the responding VM.
	Revisions map[siskin.VMID]siskin.Revision
}

// Status returns the revisions that this VM knows of.
func (r *Receiver) Status(_ *StatusArgs, reply *StatusReply) error {
	reply.Revisions = r.s.Status()
	return nil
}

// Confirm waits until a revision is in force at all live VMs or the context
// ends, and returns the VMs where the revision is not confirmed. It queries the
// collector of each data centre, which learns the revisions of the other VMs
// within a few seconds.
func (s *Spread) Confirm(ctx context.Context, rev siskin.Revision) []siskin.VM {
	for {
		missing := s.unconfirmed(rev)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return missing
		case <-s.ctx.Done():
			return missing
		case <-s.clock.After(confirmInterval):
		}
	}
}

// unconfirmed returns the live VMs that are not known to have a revision.
func (s *Spread) unconfirmed(rev siskin.Revision) []siskin.VM {
	live := s.members.Live()
	confirmed := make(map[siskin.VMID]bool)
	record := func(revisions map[siskin.VMID]siskin.Revision) {
		for id, r := range revisions {
			confirmed[id] = confirmed[id] || r >= rev
		}
	}
	record(s.Status())
	asked := make(map[siskin.VMID]bool)
	var missing []siskin.VM
	for _, vm := range live {
		if confirmed[vm.ID] {
			continue
		}
		if c, ok := collectorOf(vm.DataCentre, live); ok && !asked[c.ID] && c.ID != s.members.Self().ID {
			asked[c.ID] = true
			var reply StatusReply
			if s.call(c.ID, "Spread.Status", &StatusArgs{From: s.members.Self().ID}, &reply) == nil {
				record(reply.Revisions)
			}
		}
		if !confirmed[vm.ID] {
			missing = append(missing, vm)
		}
	}
	return missing
}
