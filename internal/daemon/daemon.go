package daemon

import (
	"context"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/connlimit"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/memory"
	"siskintray.example/siskin/internal/node"
	"siskintray.example/siskin/internal/peer"
	"siskintray.example/siskin/internal/stats"
	"siskintray.example/siskin/pkg/burn"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/keys"
	"siskintray.example/siskin/pkg/limit"
	"siskintray.example/siskin/pkg/member"
	"siskintray.example/siskin/pkg/plat"
	"siskintray.example/siskin/pkg/spread"
	"siskintray.example/siskin/pkg/token"
)

// Daemon is one running VM.
type Daemon struct {
	settings  *cfgini.Daemon
	options   options
	self      siskin.VM
	listeners *listeners
	tokens    *token.Codec

	platform *plat.Client
	client   *peer.Client
	server   *peer.Server
	members  *member.Members
	spread   *spread.Spread
	keys     *keys.Keys
	limiter  *limit.Limiter
	node     *node.Node
	recorder *burn.Recorder
	stats    *stats.Stats
	memory   *memory.Account
	admin    *http.Server

	stopDeadline atomic.Int64 // in nanoseconds
	faults       int64        // session faults in the metrics so far; used by tick

	stopOnce sync.Once
	stopped  chan struct{}
	// stopRequested is closed when the VM should stop as planned.
	stopRequested chan struct{}
	requestOnce   sync.Once
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

// Start starts a VM with the given settings. Stop or Kill ends it.
func Start(settings *cfgini.Daemon, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:      settings,
		options:       options{clock: clockwork.NewRealClock()},
		stopped:       make(chan struct{}),
		stopRequested: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(&d.options)
	}
	if d.options.log == nil {
		d.options.log = logs.New(settings.Log.Level, settings.Log.Format, os.Stderr)
	}
	d.stopDeadline.Store(int64(settings.Stop.Deadline))
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.start(); err != nil {
		d.Kill()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) start() (err error) {
	if d.tokens, err = loadTokens(d.settings.Token); err != nil {
		return err
	}
	if d.listeners, err = openListeners(d.settings); err != nil {
		return err
	}
	if err := d.startFleet(); err != nil {
		return err
	}
	if err := d.startNode(); err != nil {
		return err
	}
	d.server.Serve()
	d.members.Start()
	d.spread.Start()
	d.limiter.Start()
	d.startAdmin()
	d.log().Info().Str("Caller", d.CallerAddress()).Str("Admin", d.AdminAddress()).Msg("VM runs")
	return nil
}

// startFleet prepares the connections to the platform and to other VMs.
func (d *Daemon) startFleet() (err error) {
	s := d.settings
	var platOpts []plat.Option
	if d.options.dial != nil {
		platOpts = append(platOpts, plat.WithDialer(d.options.dial))
	}
	d.platform, err = plat.New(plat.Config{
		Addresses:       s.Platform.Addresses,
		CallsPerSecond:  s.Platform.ReadsPerSecond,
		WritesPerSecond: s.Platform.WritesPerSecond,
		Burst:           platformBurst,
	}, platOpts...)
	if err != nil {
		return err
	}
	cfg := peer.Config{Self: siskin.VMID(s.VM.ID), TLS: d.listeners.peerTLS, Drop: d.options.drop}
	if d.server, err = peer.Listen(cfg, s.Peer.Address); err != nil {
		return err
	}
	d.client = peer.NewClient(cfg, nil)
	d.self = siskin.VM{
		ID:             siskin.VMID(s.VM.ID),
		Incarnation:    siskin.Incarnation(d.options.clock.Now().UnixMilli()),
		DataCentre:     siskin.DataCentreID(s.VM.DataCentre),
		PeerAddress:    d.server.Address(),
		ForwardAddress: d.listeners.forward.Addr().String(),
		State:          siskin.VMLive,
	}
	d.members = member.New(
		member.Config{Self: d.self, Seeds: d.seeds(), RandomSeed: uint64(d.self.Incarnation)},
		d.client,
		member.WithClock(d.options.clock),
		member.WithPlatform(d.platform),
		member.WithSuperseded(d.superseded),
		member.WithResumed(d.resumed),
	)
	d.client.SetLookup(d.members.Address)
	return nil
}

// platformBurst lets a VM read the configuration and become a holder of quota
// units at its start without waiting for its call budget.
const platformBurst = 100

func (d *Daemon) seeds() []siskin.VMID {
	var ids []siskin.VMID
	for _, address := range d.settings.Peer.Seeds {
		ids = append(ids, siskin.AddressID(address))
	}
	return ids
}

// superseded stops this run when a later run of the same VM exists or the
// platform lists the VM as gone, since other VMs may reclaim its quota units.
func (d *Daemon) superseded() {
	d.log().Error().Msg("this run of the VM is superseded: a later run exists or the platform lists the VM as gone; stopping")
	d.requestStop()
}

// StopRequested returns a channel that is closed when the VM should stop: an
// operator requested it or the run is superseded.
func (d *Daemon) StopRequested() <-chan struct{} { return d.stopRequested }

func (d *Daemon) requestStop() { d.requestOnce.Do(func() { close(d.stopRequested) }) }

func (d *Daemon) log() *log.Logger { return d.options.log }

// CallerAddress returns the address that callers connect to.
func (d *Daemon) CallerAddress() string { return d.listeners.caller.Addr().String() }

// AdminAddress returns the address that serves operators.
func (d *Daemon) AdminAddress() string { return d.listeners.admin.Addr().String() }

// ForwardAddress returns the address that takes forwarded transactions.
func (d *Daemon) ForwardAddress() string { return d.self.ForwardAddress }

// PeerAddress returns the address that takes calls of other VMs.
func (d *Daemon) PeerAddress() string { return d.self.PeerAddress }

// VM returns the identity of this run.
func (d *Daemon) VM() siskin.VM { return d.self }

func (d *Daemon) startAdmin() {
	options := []admin.Option{admin.WithLogger(d.log()), admin.WithMetrics(d.stats)}
	if d.settings.Admin.Profiling {
		options = append(options, admin.WithProfiling())
	}
	d.admin = &http.Server{Handler: admin.New(d.backend(), options...), TLSConfig: d.listeners.adminTLS, ReadHeaderTimeout: adminHeaderTimeout, IdleTimeout: adminIdleTimeout, MaxHeaderBytes: adminHeaderSize}
	connlimit.LimitServer(d.admin, maxAdminConns)
	d.wg.Go(func() {
		if d.listeners.adminTLS != nil {
			_ = d.admin.ServeTLS(d.listeners.admin, "", "") // ends when closed
			return
		}
		_ = d.admin.Serve(d.listeners.admin) // ends when closed
	})
	d.wg.Go(d.tick)
}

// adminHeaderTimeout bounds the time in which an operator's connection must send
// the header of a request.
const adminHeaderTimeout = 5 * time.Second

const (
	// adminIdleTimeout is the time after which an idle connection of an operator is
	// closed.
	adminIdleTimeout = time.Minute
	// adminHeaderSize is the size of the largest request header, in bytes. Tokens of
	// operators are in it.
	adminHeaderSize = 16 << 10
	// maxAdminConns is the number of connections of operators and of the monitoring;
	// the oldest is closed when there are more.
	maxAdminConns = 256
)

// tick updates the burn record and the metrics every second.
func (d *Daemon) tick() {
	for {
		select {
		case <-d.options.clock.After(time.Second):
			d.recorder.Tick()
			d.updateStats()
			d.updateMemoryGauges()
		case <-d.ctx.Done():
			return
		}
	}
}

// reportViolations logs each broken invariant of the process.
func reportViolations(l *log.Logger) func() {
	return invar.OnViolation(func(name, detail string) {
		l.Error().Str("Invariant", name).Str("Detail", detail).Msg("invariant violated")
	})
}
