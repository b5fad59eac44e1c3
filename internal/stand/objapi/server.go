package objapi

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"siskintray.example/siskin"
)

// Server is one running stand-in.
type Server struct {
	cfg      Config
	clock    siskin.Clock
	store    *store
	vms      *vmList
	faults   *faultState
	counters *counters
	budget   *rate.Limiter
	listener *listener
	admin    net.Listener
	ctx      context.Context // ends at Close
	stop     context.CancelFunc
	servers  []*http.Server
	done     sync.WaitGroup
}

// WithClock sets the clock of the lag of the list of VMs.
func WithClock(clock siskin.Clock) Option { return func(s *Server) { s.clock = clock } }

// Start listens on both addresses and serves until Close.
func Start(cfg Config, opts ...Option) (*Server, error) {
	cfg.setDefaults()
	s := &Server{
		cfg: cfg, clock: clockwork.NewRealClock(), store: newStore(),
		faults:   &faultState{rng: rand.New(rand.NewPCG(cfg.Seed, 1))},
		counters: &counters{s: Stats{Calls: make(map[string]int64)}},
		budget:   rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), max(1, int(cfg.CallsPerSecond))),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.vms = &vmList{lag: cfg.VMLag, clock: s.clock, vms: make(map[siskin.VMID]vmRecord)}
	api, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "cannot listen on %s", cfg.Listen).WithCause(err).WithRemedy("set Listen to a free address")
	}
	s.admin, err = net.Listen("tcp", cfg.Admin)
	if err != nil {
		_ = api.Close()
		return nil, siskin.NewError(siskin.BadInput, "cannot listen on %s", cfg.Admin).WithCause(err).WithRemedy("set Admin to a free address")
	}
	s.listener = &listener{Listener: api, conns: make(map[*conn]struct{})}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.serve(s.listener, s.withFaults(s.api()))
	s.serve(s.admin, s.adminAPI())
	return s, nil
}

func (s *Server) serve(l net.Listener, h http.Handler) {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return s.ctx },
	}
	s.servers = append(s.servers, srv)
	s.done.Go(func() { _ = srv.Serve(l) })
}

// Address returns the address of the API.
func (s *Server) Address() string { return s.listener.Addr().String() }

// AdminAddress returns the address of the admin API.
func (s *Server) AdminAddress() string { return s.admin.Addr().String() }

// SetVM adds or changes a VM in the list; it becomes visible after the lag.
func (s *Server) SetVM(vm siskin.VM) {
	s.vms.set(vmRecord{vm.ID, vm.Incarnation, vm.DataCentre, vm.PeerAddress, vm.State.String()})
}

// Stats returns the counts of calls.
func (s *Server) Stats() Stats { return s.counters.snapshot() }

// Close ends all connections and waits for the calls in progress.
func (s *Server) Close() error {
	s.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	for _, srv := range s.servers {
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
	}
	s.done.Wait()
	return nil
}
