package limit

import "siskintray.example/siskin"

// Receiver has the methods that other VMs call over net/rpc. It must be
// registered under the name "Limit".
type Receiver struct{ l *Limiter }

// Receiver returns the receiver of this limiter.
func (l *Limiter) Receiver() *Receiver { return &Receiver{l} }

// Ask answers a request for units.
func (r *Receiver) Ask(args *AskArgs, reply *AskReply) error {
	if len(args.Items) > maxItems {
		return siskin.NewError(siskin.TooLarge, "%d customers in one request for units", len(args.Items)).
			WithRemedy("ask for fewer customers at once")
	}
	if args.Offer {
		r.l.acceptOffer(args)
		return nil
	}
	*reply = r.l.core.handleAsk(r.l.now(), args)
	return nil
}

// Report starts an epoch of a bucket and reports the units held at its start.
func (r *Receiver) Report(args *ReportArgs, reply *ReportReply) error {
	self := r.l.core.self
	if args.Bucket < 0 || args.Bucket >= buckets || args.ToIncarnation != self.Incarnation {
		return siskin.NewError(siskin.Conflict, "report for bucket %d of incarnation %d requested from %s incarnation %d",
			args.Bucket, args.ToIncarnation, self.VM, self.Incarnation).
			WithRemedy("read the bucket's object again")
	}
	var err error
	*reply, err = r.l.core.report(args.Bucket, args.Epoch)
	return err
}
