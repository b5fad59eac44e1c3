package daemon

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/front"
	"siskintray.example/siskin/internal/node"
	"siskintray.example/siskin/internal/stats"
	"siskintray.example/siskin/pkg/burn"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/keys"
	"siskintray.example/siskin/pkg/limit"
	"siskintray.example/siskin/pkg/spread"
)

// startNode starts the request path and registers the net/rpc receivers.
func (d *Daemon) startNode() (err error) {
	clock := d.options.clock
	proofs := newProofTracker(d.members)
	d.spread = spread.New(spread.Config{}, &awakeMembers{d.members}, d.client, d.platform, spread.WithClock(clock), spread.WithProofTracker(proofs), spread.WithLogf(d.debugf))
	proofs.setView(d.spread)
	d.keys = keys.New(clock, d.spread, keys.WithEvidence(proofs.evidence))
	d.limiter = limit.New(clock, d.spread, d.members, d.client, d.platform,
		limit.WithLogf(d.debugf), limit.WithHomes(d.customerHomes))
	d.recorder = burn.New(clock, d.self, burn.WithObjectives(burn.FromConfig(d.spread)))
	d.stats = stats.New()
	d.node, err = node.Start(node.Config{
		Self: d.self, Clock: clock, Log: d.log(),
		Config: d.spread, Members: d.members, Peers: d.client, Platform: d.platform.WithBudget(recordsPerSecond, recordsBurst), Limiter: d.limiter, Keys: d.keys, Tokens: d.tokens,
		Caller: d.listeners.caller, Forward: d.listeners.forward,
		CallerTLS: serverTLS(d.listeners.callerCert), PeerTLS: d.listeners.peerTLS,
		Observer:      &observer{recorder: d.recorder, gaps: newWriteGaps(clock, d.recorder), stats: newTransactionStats(d.stats)},
		ProbeInterval: d.settings.Group.ProbeInterval,
		Limits:        callerLimits(&d.settings.Caller),
		Memory:        d.callerMemory(),
		Dial:          d.options.dial,
		Awake:         d.members.MayUseRoles,
	})
	if err != nil {
		return err
	}
	d.wg.Go(d.followKeys)
	d.wg.Go(d.prepareLimits)
	return d.register()
}

func callerLimits(c *cfgini.Caller) front.Limits {
	return front.Limits{MaxConnections: c.MaxConnections, StartupTimeout: c.StartTimeout, MaxMessage: c.MaxMessage}
}

// Call budget for the records of primaries. When all 2,800 VMs of the planned
// size have records to write, for example after an outage of the platform, they
// make 560 calls per second, half of them reads.
const (
	recordsPerSecond = 0.2
	recordsBurst     = 4
)

func (d *Daemon) debugf(format string, args ...any) { d.log().Debug().Msgf(format, args...) }

// register registers the receivers of calls from other VMs.
func (d *Daemon) register() error {
	receivers := d.node.Receivers()
	receivers["Member"] = d.members.Receiver()
	receivers["Spread"] = d.spread.Receiver()
	receivers["Limit"] = &limitReceiver{d.limiter.Receiver(), d.members.MayUseRoles}
	receivers["Keys"] = d.keys.Receiver()
	receivers["Daemon"] = &receiver{d}
	for name, r := range receivers {
		if err := d.server.Register(name, r); err != nil {
			return err
		}
	}
	return nil
}

// followKeys ends sessions when their key is withdrawn.
func (d *Daemon) followKeys() {
	for {
		withdrawn := d.keys.Withdrawn()
		d.node.CheckKeys()
		select {
		case <-withdrawn:
		case <-d.ctx.Done():
			return
		}
	}
}

// observer records transactions in the burn record, the write gaps and the
// metrics.
type observer struct {
	recorder *burn.Recorder
	gaps     *writeGaps
	stats    *transactionStats
}

// ObserveTransaction implements front.Observer.
func (o *observer) ObserveTransaction(t front.Observation) {
	o.recorder.Transaction(t.Service, t.Customer, burn.Result{
		Failed:     t.Failed,
		Kind:       t.Kind,
		WithinRate: t.WithinRate,
		Latency:    t.Latency,
		Read:       t.Mode == config.ReadRoute,
		ByReplica:  t.ByReplica,
	})
	o.gaps.observe(&t)
	o.stats.count(t)
}

// Ready reports whether the VM sees at least the given number of live VMs and
// can get a view with a reachable primary for every service.
func (d *Daemon) Ready(vms int) bool {
	if len(d.members.Live()) < vms || len(d.spread.Services()) == 0 {
		return false
	}
	for _, name := range d.spread.Services() {
		ctx, cancel := context.WithTimeout(d.ctx, time.Second)
		view, err := d.node.View(ctx, name)
		cancel()
		primary, ok := view.Target(view.Primary)
		if err != nil || !ok || !primary.Reachable {
			return false
		}
	}
	return true
}

// Status returns the state of the VM.
func (d *Daemon) Status() node.Status { return d.node.Status() }

// OwnsSlot reports whether this VM is the home of a slot of the target.
func (d *Daemon) OwnsSlot(target siskin.TargetID) bool { return d.node.OwnsSlot(target) }

// Service returns the document of a service that is in force at this VM.
func (d *Daemon) Service(name siskin.ServiceName) (*config.Service, bool) {
	return d.spread.Service(name)
}

// Group returns the group of a service that this VM watches.
func (d *Daemon) Group(service siskin.ServiceName) (siskin.Group, bool) { return d.node.Group(service) }

// View returns the view of a service's group. It asks a home of the service if
// this VM is not one.
func (d *Daemon) View(ctx context.Context, service siskin.ServiceName) (siskin.GroupView, error) {
	return d.node.View(ctx, service)
}
