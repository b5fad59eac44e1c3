package limit

import (
	"context"
	"slices"

	"siskintray.example/siskin"
)

// collection holds the reports of one bucket's epoch that have arrived.
type collection struct {
	epoch   uint64
	reports map[holderID]ReportReply
}

// collect gets the report of every holder; one that cannot be reached blocks
// the reclaim, since it may still use its units. Reports of an epoch never
// change, so they are kept until the last one arrives.
func (l *Limiter) collect(ctx context.Context, i int, r *record, silent map[siskin.VMID]bool) ([]ReportReply, error) {
	c := l.collected[i]
	if c == nil || c.epoch != r.Epoch {
		c = &collection{epoch: r.Epoch, reports: make(map[holderID]ReportReply)}
		l.collected[i] = c
	}
	reports := make([]ReportReply, 0, len(r.Holders))
	var blocked error
	for _, h := range r.Holders {
		reply, ok := c.reports[h]
		if !ok {
			var err error
			if reply, err = l.askReport(ctx, i, r.Epoch, h, silent); err != nil {
				blocked = siskin.NewError(siskin.KindOf(err), "no report of holder %s for bucket %d", h.VM, i).
					WithRemedy("the reclaim is repeated until all holders report").WithCause(err)
				continue
			}
			c.reports[h] = reply
		}
		reports = append(reports, reply)
	}
	return reports, blocked
}

// waits asks for the missing reports of an epoch that is known here and reports
// whether some are still missing, so that a wait for a holder costs no calls to
// the platform. A holder that is in another epoch is no reason to wait.
func (l *Limiter) waits(ctx context.Context, i int, silent map[siskin.VMID]bool) bool {
	holders := l.core.holdersOf(i)
	epoch, reporting := l.core.reporting(i)
	if !reporting || slices.ContainsFunc(holders, l.gone) {
		return false
	}
	_, err := l.collect(ctx, i, &record{Epoch: epoch, Holders: holders}, silent)
	return err != nil && siskin.KindOf(err) != siskin.Conflict
}

// askReport gets the report of one holder. One that did not answer is not
// asked again in this round, and one that the members list as dead is not asked
// at all, since each such call takes a timeout.
func (l *Limiter) askReport(ctx context.Context, i int, epoch uint64, h holderID, silent map[siskin.VMID]bool) (reply ReportReply, err error) {
	if h == l.core.self {
		return l.core.report(i, epoch)
	}
	vm, _ := l.members.Lookup(h.VM)
	if silent[h.VM] || vm.State == siskin.VMDead {
		return reply, siskin.NewError(siskin.Unavailable, "holder %s cannot be reached", h.VM).
			WithRemedy("nothing needs to be done; it is asked again in the next round")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := &ReportArgs{Bucket: i, Epoch: epoch, ToIncarnation: h.Incarnation}
	if err = l.peers.Call(ctx, h.VM, "Limit.Report", args, &reply); err != nil {
		silent[h.VM] = true
	}
	return reply, err
}
