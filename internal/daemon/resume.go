package daemon

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/limit"
	"siskintray.example/siskin/pkg/member"
)

// resumeTimeout bounds the fetching of the configuration after a pause, so that
// a VM whose peers do not answer goes on with what it has.
const resumeTimeout = time.Second

// resumed brings the roles of this VM up to date after a pause. Membership has
// heard from peers before and uses no role until it returns.
func (d *Daemon) resumed(gap time.Duration) {
	begun := d.options.clock.Now()
	ctx, cancel := context.WithTimeout(d.ctx, resumeTimeout)
	defer cancel()
	answered := d.spread.CatchUp(ctx)
	d.awaitKeys(ctx)
	d.node.Resume()
	d.log().Warn().Dur("Gap", gap).Bool("PeersAnswered", answered).Dur("Took", d.options.clock.Since(begun)).
		Msg("this VM was paused; its roles are up to date")
}

// awaitKeys waits until the keys follow the configuration in force.
func (d *Daemon) awaitKeys(ctx context.Context) {
	for d.keys.Revision() < d.spread.Revision() && ctx.Err() == nil {
		d.options.clock.Sleep(time.Millisecond)
	}
}

// awakeMembers is the view of a VM that may have been paused. While it resumes
// it leaves itself out, so that it is no watcher of the configuration.
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

// limitReceiver refuses to give units while this VM resumes from a pause. The
// asking VM repeats the request.
type limitReceiver struct {
	*limit.Receiver
	awake func() bool
}

// Ask answers a request for units.
func (r *limitReceiver) Ask(args *limit.AskArgs, reply *limit.AskReply) error {
	if !r.awake() {
		return siskin.NewError(siskin.Unavailable, "this VM was paused and has not heard from its peers yet").
			WithRemedy("repeat the request")
	}
	return r.Receiver.Ask(args, reply)
}
