package limit

import (
	"context"
	"slices"

	"siskintray.example/siskin"
)

// reportSet holds the reports received for one epoch of a bucket.
type reportSet struct {
	epoch   uint64
	reports map[holderID]ReportReply
}

// collectReports returns the reports of all holders. A holder that cannot be
// reached blocks the reclaim, since it may still use its units. Reports of an
// epoch never change, so they are kept until the last one arrives.
func (l *Limiter) collectReports(ctx context.Context, i int, r *record, unresponsive map[siskin.VMID]bool) ([]ReportReply, error) {
	c := l.reportSets[i]
	if c == nil || c.epoch != r.Epoch {
		c = &reportSet{epoch: r.Epoch, reports: make(map[holderID]ReportReply)}
		l.reportSets[i] = c
	}
	reports := make([]ReportReply, 0, len(r.Holders))
	var blocked error
	for _, h := range r.Holders {
		reply, ok := c.reports[h]
		if !ok {
			var err error
			if reply, err = l.requestReport(ctx, i, r.Epoch, h, unresponsive); err != nil {
				blocked = siskin.NewError(siskin.KindOf(err), "no report from holder %s for bucket %d", h.VM, i).
					WithRemedy("the reclaim is retried until all holders report").WithCause(err)
				continue
			}
			c.reports[h] = reply
		}
		reports = append(reports, reply)
	}
	return reports, blocked
}

// awaitsReports requests the missing reports of an epoch that this VM has
// entered and reports whether some are still missing. While a reclaim is
// blocked, this saves calls to the platform. A holder in another epoch does not
// count as missing.
func (l *Limiter) awaitsReports(ctx context.Context, i int, unresponsive map[siskin.VMID]bool) bool {
	holders := l.core.holdersOf(i)
	epoch, reporting := l.core.reporting(i)
	if !reporting || slices.ContainsFunc(holders, l.gone) {
		return false
	}
	_, err := l.collectReports(ctx, i, &record{Epoch: epoch, Holders: holders}, unresponsive)
	return err != nil && siskin.KindOf(err) != siskin.Conflict
}

// requestReport returns the report of one holder. A holder that did not answer
// is not asked again in this round, and one that the members list as dead is
// not asked at all, since each such call takes a full timeout.
func (l *Limiter) requestReport(ctx context.Context, i int, epoch uint64, h holderID, unresponsive map[siskin.VMID]bool) (reply ReportReply, err error) {
	if h == l.core.self {
		return l.core.report(i, epoch)
	}
	vm, _ := l.members.Lookup(h.VM)
	if unresponsive[h.VM] || vm.State == siskin.VMDead {
		return reply, siskin.NewError(siskin.Unavailable, "holder %s is unreachable", h.VM).
			WithRemedy("no action is needed; the next round asks it again")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := &ReportArgs{Bucket: i, Epoch: epoch, ToIncarnation: h.Incarnation}
	if err = l.peers.Call(ctx, h.VM, "Limit.Report", args, &reply); err != nil {
		unresponsive[h.VM] = true
	}
	return reply, err
}
