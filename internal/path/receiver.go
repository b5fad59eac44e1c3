package path

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

// Receiver handles calls of peers to the service Home.
type Receiver struct {
	homes  *home.Homes
	status func(*siskin.Answer) (siskin.ControlStatus, error)
}

// Receiver returns the receiver to register.
func (p *Path) Receiver() *Receiver { return &Receiver{p.cfg.Homes, p.cfg.Status} }

// Run runs a statement at this home.
func (r *Receiver) Run(req *home.Request, reply *home.Reply) error {
	if !req.Valid() {
		return siskin.NewError(siskin.BadInput, "the request for a statement of kind %d is not understood", int(req.Statement.Kind)).WithRemedy("run the same version on all VMs")
	}
	if req.Replaced() {
		// As at a VM that does not serve the target: the sender tries the next.
		*reply = home.Reply{Cause: home.Unknown}
		return nil
	}
	*reply = r.homes.Run(context.Background(), req)
	return nil
}

// observeTimeout limits a status request that is made for another VM.
const observeTimeout = 150 * time.Millisecond

// ObserveArgs is the argument of Receiver.Observe.
type ObserveArgs struct{ Target siskin.TargetID }

// Observe queries the state of a target and the age of its connection for a VM
// that is not the home of the target.
func (r *Receiver) Observe(args *ObserveArgs, reply *home.Observation) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), observeTimeout)
	defer cancel()
	*reply, err = observe(ctx, r.homes, r.status, args.Target)
	return err
}

// PingArgs is the argument of Receiver.Ping.
type PingArgs struct {
	Service siskin.ServiceName
	Target  siskin.TargetID
}

// PingReply reports whether the target proved or denied that it is the primary.
// Both are false when neither is known.
type PingReply struct{ Leads, Denies bool }

// Ping asks a target to prove that it is the primary, for a VM that cannot
// reach it.
func (r *Receiver) Ping(args *PingArgs, reply *PingReply) error {
	err := r.homes.Ping(context.Background(), args.Service, args.Target)
	reply.Leads = err == nil
	reply.Denies = siskin.KindOf(err) == siskin.Conflict
	return nil
}
