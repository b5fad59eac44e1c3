package node

import (
	"context"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// View returns the view of a service's group. It asks a home of the service if
// this VM is not one.
func (n *Node) View(ctx context.Context, service siskin.ServiceName) (siskin.GroupView, error) {
	if view, ok := n.LocalView(service); ok {
		return view, nil
	}
	s, err := n.service(service)
	if err != nil {
		return siskin.GroupView{}, err
	}
	for _, vm := range n.homes.ofService(s) {
		if view, ok := n.fetchView(ctx, vm.ID, service); ok {
			return view, nil
		}
	}
	return siskin.GroupView{}, notWatched(service)
}

// LocalView returns this VM's view of the group of a service. It reports false
// if this VM is not a home of the service.
func (n *Node) LocalView(service siskin.ServiceName) (siskin.GroupView, bool) {
	g, ok := n.groups.running.Get(service)
	if !ok {
		return siskin.GroupView{}, false
	}
	view := g.Group.View()
	view.RecordTerm = n.records.recorded(service)
	return view, true
}

// fetchView asks one home for its view. The timeout leaves time to ask another
// home when this one does not answer.
func (n *Node) fetchView(ctx context.Context, vm siskin.VMID, service siskin.ServiceName) (siskin.GroupView, bool) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	var reply ViewReply
	err := n.cfg.Peers.Call(ctx, vm, "Group.View", service, &reply)
	return reply.View, err == nil && reply.Watched
}

// Promote makes the target the primary of its group. With force it does so even
// if too few targets are reachable, which can lose acknowledged writes.
func (n *Node) Promote(ctx context.Context, service siskin.ServiceName, target siskin.TargetID, force bool) error {
	if g, ok := n.groups.running.Get(service); ok {
		return g.Promote(ctx, target, force)
	}
	s, err := n.service(service)
	if err != nil {
		return err
	}
	args := PromoteArgs{Service: service, Target: target, Force: force}
	for _, vm := range n.homes.ofService(s) {
		var reply PromoteReply
		err := n.cfg.Peers.Call(ctx, vm.ID, "Group.Promote", args, &reply)
		if err != nil && ctx.Err() != nil {
			// The change may be in progress, so do not ask another VM.
			return siskin.NewError(siskin.OutcomeUnknown, "change of the primary of %s was not answered in time", service).
				WithRemedy("look at siskintray group status before repeating it").WithCause(err)
		}
		if err == nil && reply.Watched {
			return reply.err()
		}
	}
	return notWatched(service)
}

// Watches reports whether this VM is a home of a slot of the service.
func (n *Node) Watches(service siskin.ServiceName) bool {
	s, ok := n.cfg.Config.Service(service)
	return ok && n.groups.watches(s)
}

func (n *Node) service(name siskin.ServiceName) (*config.Service, error) {
	s, ok := n.cfg.Config.Service(name)
	if !ok {
		return nil, siskin.NewError(siskin.UnknownRoute, "service %s does not exist", name).
			WithRemedy("list the services with siskintray group status")
	}
	return s, nil
}

func notWatched(service siskin.ServiceName) error {
	return siskin.NewError(siskin.Unavailable, "no VM that answers watches service %s", service).
		WithRemedy("check siskintray vm list")
}
