package spread

import (
	"siskintray.example/siskin"
)

// PushArgs are the arguments of Spread.Push.
type PushArgs struct {
	From siskin.VMID
	// Base is the revision that must be in force at the receiver, and Revision
	// the one after installing the documents.
	Base, Revision siskin.Revision
	// Operation is the operation that made Revision, if known.
	Operation siskin.OperationID `json:",omitempty"`
	Documents []Document
	// Targets are the VMs that the receiver forwards the change to.
	Targets []siskin.VMID `json:",omitempty"`
}

// PushReply is the reply of Spread.Push.
type PushReply struct {
	// Revision is the revision in force at the responding VM.
	Revision siskin.Revision
}

// Push installs a change and forwards it to the targets.
func (r *Receiver) Push(args *PushArgs, reply *PushReply) error {
	s := r.s
	known := args.Revision <= s.Revision()
	if !known {
		entries, err := decodeAll(args.Documents)
		if err != nil {
			return err
		}
		s.installPushed(args, entries)
	}
	s.peerRevisions.record(args.From, args.Revision, s.clock.Now())
	reply.Revision = s.Revision()
	// Forward even a change that this VM already has, for instance from an
	// exchange: the targets depend on this VM for the push.
	s.pushTree(*args, args.Targets)
	return nil
}

// installPushed installs pushed documents. If earlier changes are missing, it
// fetches them from the sender, and only that advances the revision.
func (s *Spread) installPushed(args *PushArgs, entries []*entry) {
	s.operationHistory.recordAccepted(args.Revision, args.Operation)
	if s.Revision() >= args.Base {
		s.install(entries, args.Revision)
		return
	}
	s.install(entries, 0)
	s.fetchInBackground(args.From)
}

// pushTree sends a change to the targets along a tree with fan-out fanOut.
func (s *Spread) pushTree(args PushArgs, targets []siskin.VMID) {
	args.From = s.members.Self().ID
	for i := range fanOut {
		from, to := i*len(targets)/fanOut, (i+1)*len(targets)/fanOut
		if from < to {
			subtree := targets[from:to]
			s.submit(func() { s.pushSubtree(args, subtree) })
		}
	}
}

// pushSubtree sends a change to the first VM of a subtree that responds, which
// forwards it to the rest. VMs that do not respond catch up by exchanges.
func (s *Spread) pushSubtree(args PushArgs, subtree []siskin.VMID) {
	const attempts = 3
	for i := range min(attempts, len(subtree)) {
		args.Targets = subtree[i+1:]
		var reply PushReply
		if s.call(subtree[i], "Spread.Push", &args, &reply) == nil {
			s.peerRevisions.record(subtree[i], reply.Revision, s.clock.Now())
			return
		}
		s.logf("push of revision %d to %s failed", args.Revision, subtree[i])
	}
}

// pushAll pushes the documents changed after base to other VMs.
func (s *Spread) pushAll(base siskin.Revision, vms []siskin.VM) {
	rev := s.Revision()
	docs, more := s.since(afterRevision(base))
	if more || len(vms) == 0 || rev <= base {
		return // too many documents for a push; the VMs fetch them
	}
	targets := make([]siskin.VMID, 0, len(vms))
	for _, vm := range vms {
		targets = append(targets, vm.ID)
	}
	s.pushTree(PushArgs{Base: base, Revision: rev, Operation: s.operationHistory.acceptedOperation(rev), Documents: docs}, targets)
}
