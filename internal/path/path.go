// Package path finds the home of a target and runs statements there.
package path

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/peer"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/pkg/place"
)

const (
	// maxHomes is the maximum number of VMs that are tried for one statement.
	maxHomes = 3
	// minRetryTime is the minimum remaining time for an attempt at another VM.
	minRetryTime = 40 * time.Millisecond
)

// Config holds the dependencies of a Path.
type Config struct {
	Clock  siskin.Clock
	Crew   *crew.Crew
	Roster *roster.Roster
	Views  *views.Views
	Homes  *home.Homes
	Peers  siskin.Peers
	Log    *log.Logger
	// Status decodes the answer to a control statement.
	Status func(*siskin.Answer) (siskin.ControlStatus, error)
}

// Path runs statements at the homes of their targets.
type Path struct {
	cfg    Config
	ranker place.Ranker
}

// New returns a Path.
func New(cfg Config) *Path { return &Path{cfg: cfg} }

// ranked returns the VMs that may be the home of a target, best first: the live
// VMs of its data centre, overloaded ones last, or all live VMs when that has
// none.
func (p *Path) ranked(t siskin.TargetInfo) []siskin.VM {
	return p.ranker.RankDemoted(string(t.ID), p.cfg.Crew.Live(), func(live []siskin.VM) []siskin.VM {
		return place.PreferDataCentre(t.DataCentre, live)
	})
}

// Home returns the home of a target according to the live VMs that this VM
// knows.
func (p *Path) Home(t siskin.TargetInfo) (siskin.VMID, bool) {
	list := p.ranked(t)
	if len(list) == 0 {
		return "", false
	}
	return list[0].ID, true
}

// DemotedHome returns the VM that would be the home of a target if it were not
// demoted, and false if that is the home.
func (p *Path) DemotedHome(t siskin.TargetInfo) (siskin.VMID, bool) {
	list := p.ranked(t)
	best, ok := place.Best(string(t.ID), list)
	return best.ID, ok && best.ID != list[0].ID
}

// IsHome reports whether this VM is the home of a target according to the live
// VMs that it knows.
func (p *Path) IsHome(t siskin.TargetInfo) bool {
	id, ok := p.Home(t)
	return ok && id == p.cfg.Crew.Self().ID
}

// PrimaryHomes returns the homes of the known primaries, and those homes for
// which this VM is a fallback.
func (p *Path) PrimaryHomes(services []siskin.ServiceSpec) (homes, fallbackFor map[siskin.VMID]bool) {
	homes, fallbackFor = make(map[siskin.VMID]bool), make(map[siskin.VMID]bool)
	self := p.cfg.Crew.Self().ID
	for _, s := range services {
		// Without a proof, service discovery suggests which target to ask for
		// one.
		id := p.cfg.Views.LatestProof(s.Name).Target
		if id == "" {
			id = p.cfg.Views.Primary(s.Name, p.cfg.Roster.Service(s.Name))
		}
		t, ok := p.cfg.Roster.Target(id)
		if !ok {
			continue
		}
		list := p.ranked(t)
		for i, vm := range list[:min(maxHomes, len(list))] {
			homes[list[0].ID] = true
			if i > 0 && vm.ID == self {
				fallbackFor[list[0].ID] = true
			}
		}
	}
	return homes, fallbackFor
}

// Run implements entry.Homes.
func (p *Path) Run(ctx context.Context, req *home.Request) home.Reply {
	if req.Mode == home.Continue {
		reply, _ := p.runOn(ctx, req.Home, req)
		return reply
	}
	t, ok := p.cfg.Roster.Target(req.Target)
	if !ok {
		return home.Reply{Cause: home.Unknown}
	}
	start := p.cfg.Clock.Now()
	timeout := req.Timeout
	req.Unreachable = false // the caller may have sent it for another target
	var reply home.Reply
	var refused *home.Reply // by an overloaded home
	mayHaveRun := false     // at one of the homes
	for i, vm := range p.candidates(t) {
		if i > 0 {
			req.Timeout = timeout - p.cfg.Clock.Since(start)
			if i >= maxHomes || req.Timeout < minRetryTime {
				break
			}
		}
		var reached bool
		reply, reached = p.runOn(ctx, vm.ID, req)
		mayHaveRun = mayHaveRun || reply.AnswerMissing()
		reply.MayHaveRun = mayHaveRun
		if refusedByDemoted(vm, &reply) {
			last := reply
			refused = &last
			continue
		}
		if reply.Outcome != home.NotSent || reached && reply.Cause != home.Unreachable && reply.Cause != home.Unknown {
			return reply
		}
		// The next home may have had no connection to the target, and so has
		// not seen the failure.
		req.Unreachable = req.Unreachable || reached && reply.Cause == home.Unreachable
	}
	if refused != nil {
		refused.MayHaveRun = mayHaveRun
		return *refused
	}
	return reply
}

// refusedByDemoted reports whether a statement was not sent because its home is
// an overloaded VM, so that the next VM may serve it. A refusal for the load of
// the target states a time, and holds for other VMs too.
func refusedByDemoted(vm siskin.VM, reply *home.Reply) bool {
	return vm.Demotion != siskin.NotDemoted && reply.Outcome == home.NotSent && reply.Cause == home.Overload && reply.RetryAfter == 0
}

// candidates returns the VMs to try, in order. When the data centre of the
// target has fewer than maxHomes, one VM outside of it follows, for the case
// that all homes inside are unreachable.
func (p *Path) candidates(t siskin.TargetInfo) []siskin.VM {
	list := p.ranked(t)
	if len(list) >= maxHomes {
		return list[:maxHomes]
	}
	all := p.ranker.Rank("far/"+string(t.ID), p.cfg.Crew.Live(), nil)
	for _, vm := range all {
		if vm.DataCentre != t.DataCentre {
			return append(slices.Clip(list), vm)
		}
	}
	return list
}

// runOn runs a request on one VM. The result reached is false when the VM
// cannot have received it.
func (p *Path) runOn(ctx context.Context, vm siskin.VMID, req *home.Request) (reply home.Reply, reached bool) {
	if vm == p.cfg.Crew.Self().ID {
		reply = p.cfg.Homes.Run(ctx, req)
		reply.Home = vm
		return reply, true
	}
	err := p.cfg.Peers.Call(ctx, vm, "Home.Run", req, &reply)
	if err == nil && reply.Valid() {
		reply.Home = vm
		return reply, true
	}
	if err == nil {
		// The statement may have run, but its answer cannot be passed on.
		p.cfg.Log.Error().Str("VM", string(vm)).Int("Outcome", int(reply.Outcome)).Int("Code", int(reply.Answer.Code)).
			Msg("a home returned an invalid reply")
		return home.Reply{Outcome: home.AnswerLost, Cause: home.Silent, Home: vm}, true
	}
	if errors.Is(err, peer.ErrResponseDropped) {
		return home.LostAnswer(req, vm), true
	}
	if siskin.KindOf(err) == siskin.Overloaded && errors.Is(err, peer.ErrNotSent) {
		// The next home may have room for the request.
		return home.Reply{Cause: home.Overload, Home: vm}, false
	}
	if notEncoded(err) {
		// Neither the VM nor the target has failed, so neither is left out.
		return home.Reply{Cause: home.Unknown, Home: vm}, false
	}
	if ctx.Err() != nil && !errors.Is(err, peer.ErrNotSent) {
		p.cfg.Crew.PingNow(vm)
	}
	// A VM that answered with an error is not lost.
	if siskin.KindOf(err) == siskin.Unavailable && (ctx.Err() == nil || errors.Is(err, peer.ErrNotSent)) {
		p.cfg.Crew.Suspect(vm, err)
	}
	if errors.Is(err, peer.ErrNotSent) {
		return home.Reply{Cause: home.Unreachable, Home: vm}, false
	}
	return home.Reply{Outcome: home.AnswerLost, Cause: home.Silent, Home: vm}, true
}

// notEncoded reports whether a call was not sent because its arguments do not
// fit into a message, or cannot be encoded for the VM.
func notEncoded(err error) bool {
	kind := siskin.KindOf(err)
	return errors.Is(err, peer.ErrNotSent) && (kind == siskin.TooLarge || kind == siskin.BadInput)
}
