package node

import (
	"context"
	"errors"
	"time"

	"siskintray.example/siskin"
)

// promoteTimeout bounds a change of primary that another VM requested. Every
// change must finish within 7 s.
const promoteTimeout = 7 * time.Second

// ViewReply is the reply of Group.View.
type ViewReply struct {
	// Watched is false if the VM does not watch the group; View is then empty.
	Watched bool
	View    siskin.GroupView
}

// PromoteArgs is the argument of Group.Promote.
type PromoteArgs struct {
	Service siskin.ServiceName
	Target  siskin.TargetID
	Force   bool
}

// PromoteReply is the reply of Group.Promote. net/rpc passes errors as text
// only, so the reply carries the kind.
type PromoteReply struct {
	Watched bool
	Failed  bool
	Kind    siskin.ErrorKind
	Message string
	Remedy  string
}

// groupReceiver serves Group calls of other VMs over net/rpc.
type groupReceiver struct {
	groups  *groups
	records *records
}

// View returns the current view of a group that this VM watches.
func (r *groupReceiver) View(service siskin.ServiceName, reply *ViewReply) error {
	g, ok := r.groups.running.Get(service)
	if ok {
		*reply = ViewReply{Watched: true, View: g.Group.View()}
		reply.View.RecordTerm = r.records.recorded(service)
	}
	return nil
}

// LearnArgs is the argument of Group.Learn.
type LearnArgs struct {
	Service siskin.ServiceName
	View    siskin.GroupView
}

// Learn applies the view of a VM that probes the targets of a group.
func (r *groupReceiver) Learn(args LearnArgs, _ *struct{}) error {
	if g, ok := r.groups.running.Get(args.Service); ok {
		g.ApplyView(&args.View, r.groups.clock.Now())
	}
	return nil
}

// Promote makes a target the primary of a group that this VM watches.
func (r *groupReceiver) Promote(args PromoteArgs, reply *PromoteReply) error {
	g, ok := r.groups.running.Get(args.Service)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), promoteTimeout)
	defer cancel()
	reply.Watched = true
	reply.set(g.Promote(ctx, args.Target, args.Force))
	return nil
}

func (r *PromoteReply) set(err error) {
	if err == nil {
		return
	}
	r.Failed, r.Kind, r.Message = true, siskin.KindOf(err), err.Error()
	var e *siskin.Error
	if errors.As(err, &e) {
		r.Message, r.Remedy = e.Message, e.Remedy
	}
}

func (r *PromoteReply) err() error {
	if !r.Failed {
		return nil
	}
	return siskin.NewError(r.Kind, "%s", r.Message).WithRemedy(r.Remedy)
}
