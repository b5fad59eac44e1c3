package daemon

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/limit"
	"siskintray.example/siskin/pkg/member"
)

// resumeTimeout bounds fetching the configuration after a pause. A VM whose
// peers do not answer continues with the configuration that it has.
const resumeTimeout = time.Second

// resumed updates the roles of this VM after a pause of the process. Package
// member calls it after it has heard from peers; MayUseRoles is false until it
// returns.
func (d *Daemon) resumed(gap time.Duration) {
	start := d.options.clock.Now()
	ctx, cancel := context.WithTimeout(d.ctx, resumeTimeout)
	defer cancel()
	answered := d.spread.CatchUp(ctx)
	d.awaitKeys(ctx)
	d.node.Resume()
	d.log().Warn().Dur("Gap", gap).Bool("PeersAnswered", answered).Dur("Took", d.options.clock.Since(start)).
		Msg("resumed after a pause of this VM; roles updated")
}

// awaitKeys waits until the keys of the configuration in force are in use.
func (d *Daemon) awaitKeys(ctx context.Context) {
	for d.keys.Revision() < d.spread.Revision() && ctx.Err() == nil {
		d.options.clock.Sleep(time.Millisecond)
	}
}

// awakeMembers excludes this VM from the live VMs while it resumes from a pause,
// so that it does not act as a watcher of the configuration.
type awakeMembers struct{ *member.Members }

// Live implements siskin.Members.
func (m *awakeMembers) Live() []siskin.VM {
	live := m.Members.Live()
	if m.MayUseRoles() {
		return live
	}
	self := m.Self().ID
	var others []siskin.VM
	for _, vm := range live {
		if vm.ID != self {
			others = append(others, vm)
		}
	}
	return others
}

// limitReceiver refuses requests for quota units while this VM resumes from a
// pause. The requesting VM retries.
type limitReceiver struct {
	*limit.Receiver
	awake func() bool
}

// Ask serves a request for quota units.
func (r *limitReceiver) Ask(args *limit.AskArgs, reply *limit.AskReply) error {
	if !r.awake() {
		return siskin.NewError(siskin.Unavailable, "this VM was paused and has not heard from its peers yet").
			WithRemedy("repeat the request")
	}
	return r.Receiver.Ask(args, reply)
}
