package node

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/group"
	"siskintray.example/siskin/pkg/pgctl"
	"siskintray.example/siskin/pkg/shard"
)

// groups holds the groups that this VM watches because it is a home of one of
// their slots.
type groups struct {
	self        siskin.VMID
	clock       siskin.Clock
	homes       *homes
	config      config.View
	minInterval time.Duration // interval between probes of the settings
	interval    time.Duration // interval of groups that start now
	dial        siskin.DialFunc
	log         *log.Logger
	awake       func() bool
	// activity returns since when a statement of this VM waits on a slot of a
	// target, and when the target last answered one.
	activity func(key pool.Key) (quiet, last time.Time)
	// views are the views received from watchers. sendView sends this VM's view
	// to another VM.
	views    *remoteViews
	sendView func(ctx context.Context, vm siskin.VMID, view *siskin.GroupView, service siskin.ServiceName) error
	// endWritesBefore ends the writes at primaries of terms before the given one.
	endWritesBefore func(service siskin.ServiceName, term siskin.Term)
	// onSilentConns tells the pool that connections to a target which were opened
	// before the given time no longer get answers.
	onSilentConns func(target siskin.TargetID, sent time.Time)
	// observe receives each view of a watched group, and an empty one when the
	// group is no longer watched.
	observe func(service siskin.ServiceName, view *siskin.GroupView)
	running *shard.Map[siskin.ServiceName, *watchedGroup]
}

func newGroups(cfg Config, homes *homes, endWritesBefore func(siskin.ServiceName, siskin.Term), observe func(siskin.ServiceName, *siskin.GroupView)) *groups {
	awake := cfg.Awake
	if awake == nil {
		awake = func() bool { return true }
	}
	return &groups{
		awake:           awake,
		self:            cfg.Self.ID,
		clock:           cfg.Clock,
		homes:           homes,
		config:          cfg.Config,
		minInterval:     cfg.ProbeInterval,
		dial:            cfg.Dial,
		log:             cfg.Log,
		endWritesBefore: endWritesBefore,
		observe:         observe,
		running:         shard.New[siskin.ServiceName, *watchedGroup](),
	}
}

// Group implements siskin.Groups.
func (g *groups) Group(service siskin.ServiceName) (siskin.Group, bool) {
	w, ok := g.running.Get(service)
	if !ok {
		return nil, false
	}
	return w, true
}

// update starts and stops groups to match the configuration and the homes. A
// group whose targets or credentials changed is restarted.
func (g *groups) update(view config.View) {
	wanted := make(map[siskin.ServiceName]bool)
	var services []*config.Service
	targets := 0
	for _, name := range view.Services() {
		service, ok := view.Service(name)
		if !ok || !g.watches(service) {
			continue
		}
		wanted[name] = true
		services = append(services, service)
		if g.isWatcher(service) {
			targets += len(service.Targets)
		}
	}
	// A running group keeps its interval until it is restarted, since a restart
	// loses what is known of its targets.
	g.interval = probeInterval(g.minInterval, targets)
	for _, service := range services {
		name := service.Name
		if err := g.ensure(service); err != nil {
			g.log.Error().Err(err).Str("Service", string(name)).Msg("cannot watch the group")
		}
	}
	g.running.Range(func(name siskin.ServiceName, w *watchedGroup) bool {
		if !wanted[name] {
			g.running.Delete(name)
			_ = w.Close() // ends calls and never fails
			g.observe(name, &siskin.GroupView{})
		}
		return true
	})
}

func (g *groups) watches(service *config.Service) bool {
	return slices.ContainsFunc(g.homes.ofService(service), g.isSelf)
}

func (g *groups) ensure(service *config.Service) error {
	settings := g.settings(service)
	old, ok := g.running.Get(service.Name)
	if ok && old.credentials == service.Credentials && sameSettings(&old.settings, &settings) {
		return nil
	}
	dialer := &probeDialer{
		inner:         pgctl.NewDialer(service.Credentials, 0, pgctl.WithDial(g.dial)),
		clock:         g.clock,
		onSilentConns: g.onSilentConns,
		timedOut:      make(map[siskin.TargetID]time.Time),
	}
	started, err := group.New(settings, dialer, group.WithClock(g.clock), group.WithLogger(g.log), group.WithAwake(g.awake),
		group.WithRank(func() int { return g.rank(g.current(service)) }),
		group.WithWatcher(func() bool { return g.isWatcher(g.current(service)) }),
		group.WithStatementActivity(func(id siskin.TargetID) (quiet, last time.Time) { return g.statementActivity(g.current(service), id) }),
	)
	if err != nil {
		return err
	}
	w := &watchedGroup{
		Group: started, settings: settings, credentials: service.Credentials, views: g.views, clock: g.clock,
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.wg.Go(func() { w.follow(g.endWritesBefore, g.observe) })
	w.wg.Go(func() { w.pushViews(g, service) })
	g.running.Put(service.Name, w)
	if ok {
		return old.Close()
	}
	return nil
}

func (g *groups) settings(service *config.Service) group.Settings {
	s := group.Settings{
		Service:        service.Name,
		Self:           g.self,
		AckReplicas:    service.AckReplicas,
		Interval:       g.interval,
		MaxUnconfirmed: service.MaxUnconfirmed.Std(),
	}
	for _, t := range service.Targets {
		s.Members = append(s.Members, group.Member{ID: t.ID, DataCentre: t.DataCentre, Address: t.Address})
	}
	return s
}

func sameSettings(a, b *group.Settings) bool {
	return a.AckReplicas == b.AckReplicas && a.MaxUnconfirmed == b.MaxUnconfirmed && slices.Equal(a.Members, b.Members)
}

// rank returns this VM's index among the VMs that watch the group.
func (g *groups) rank(service *config.Service) int {
	return max(0, slices.IndexFunc(g.homes.rankedHomes(service), g.isSelf))
}

// current returns the document of a service that is in force. A group keeps
// running with its old document when only the slots, and so the homes, change.
func (g *groups) current(s *config.Service) *config.Service {
	if now, ok := g.config.Service(s.Name); ok {
		return now
	}
	return s
}

func (g *groups) isSelf(vm siskin.VM) bool { return vm.ID == g.self }

// isWatcher reports whether this VM probes the group's targets all the time.
func (g *groups) isWatcher(service *config.Service) bool {
	return slices.ContainsFunc(g.homes.watchersOf(service), g.isSelf)
}

// of returns the group that a target belongs to.
func (g *groups) of(target siskin.TargetID) (found *watchedGroup) {
	g.running.Range(func(_ siskin.ServiceName, w *watchedGroup) bool {
		if w.has(target) {
			found = w
		}
		return found == nil
	})
	return found
}

// applyView passes the view of a watcher to the group. A nil view means that no
// watcher answered; this VM then probes the targets itself.
func (g *groups) applyView(service siskin.ServiceName, view *siskin.GroupView, askedAt time.Time) {
	w, ok := g.running.Get(service)
	switch {
	case !ok:
	case view == nil:
		w.Activate()
	default:
		w.ApplyView(view, askedAt)
	}
}

// reportFailure reports a failed connection to the group of the target.
func (g *groups) reportFailure(target siskin.TargetID, cause error) {
	if w := g.of(target); w != nil {
		w.ReportFailure(target, cause)
	}
}

// reachable reports whether a target answers the probes of its group. A target
// without a watched group counts as reachable, since its state is unknown.
func (g *groups) reachable(target siskin.TargetID) bool {
	w := g.of(target)
	if w == nil {
		return true
	}
	view := w.Group.View()
	t, ok := view.Target(target)
	return !ok || t.Reachable
}

// close stops all groups and waits for them.
func (g *groups) close() {
	g.running.Range(func(name siskin.ServiceName, w *watchedGroup) bool {
		g.running.Delete(name)
		_ = w.Close() // ends calls and never fails
		return true
	})
}
