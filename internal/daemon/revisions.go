package daemon

import (
	"context"

	"github.com/alitto/pond/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/pkg/keys"
)

// maxParallelCalls bounds the concurrent calls to VMs on behalf of an operator.
const maxParallelCalls = 32

// revisions returns the revision in force at every live VM.
func (d *Daemon) revisions(ctx context.Context) []admin.VMRevision {
	live := d.members.Live()
	all := make([]admin.VMRevision, len(live))
	pool := pond.NewPool(maxParallelCalls)
	for i, vm := range live {
		all[i] = admin.VMRevision{VM: vm.ID, DataCentre: vm.DataCentre}
		pool.Submit(func() { d.fetchRevision(ctx, &all[i]) })
	}
	pool.StopAndWait()
	return all
}

func (d *Daemon) fetchRevision(ctx context.Context, r *admin.VMRevision) {
	if r.VM == d.self.ID {
		r.Revision, r.Confirmed = d.keys.Revision(), true
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var reply keys.ConfirmReply
	err := d.client.Call(ctx, r.VM, "Keys.Confirm", keys.ConfirmArgs{}, &reply)
	r.Revision, r.Confirmed = reply.Revision, err == nil
}

// unconfirmed returns the data centres in which not every VM has the revision,
// and those in which all have it.
func unconfirmed(all []admin.VMRevision, revision siskin.Revision) (missing, inForce []siskin.DataCentreID) {
	behind := make(map[siskin.DataCentreID]bool)
	var order []siskin.DataCentreID
	for _, r := range all {
		if _, ok := behind[r.DataCentre]; !ok {
			order = append(order, r.DataCentre)
		}
		behind[r.DataCentre] = behind[r.DataCentre] || !r.Confirmed || r.Revision < revision
	}
	for _, dc := range order {
		if behind[dc] {
			missing = append(missing, dc)
		} else {
			inForce = append(inForce, dc)
		}
	}
	return missing, inForce
}
