package plat

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"siskintray.example/siskin"
)

// Client calls the platform. It implements siskin.Platform within the call
// budget of the process; WithBudget returns a siskin.Platform with an additional
// budget of its own.
type Client struct {
	*LimitedClient
	cfg       Config
	clock     siskin.Clock
	random    func() float64
	transport *http.Transport
	// updates opens a connection for each update, since a late second response
	// to an earlier request could not be told from the one that is due.
	updates  *http.Transport
	breaker  *breaker
	budget   *rate.Limiter
	writes   *rate.Limiter // the same limiter as budget when all calls share one
	watches  chan struct{} // one entry for each waiting watch
	address  atomic.Int64  // index of the address in use
	counters counters

	ctx  context.Context // canceled by Close
	stop context.CancelFunc
	mu   sync.Mutex // orders done.Add before done.Wait
	done sync.WaitGroup
}

// LimitedClient is a siskin.Platform whose calls count against a budget of their own
// and against that of the process.
type LimitedClient struct {
	c      *Client
	budget *rate.Limiter
}

var _ siskin.Platform = (*Client)(nil)

// New returns a client. It opens connections on demand.
func New(cfg Config, opts ...Option) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, siskin.NewError(siskin.BadInput, "no address of the platform is set").WithRemedy("set Addresses to at least one IP number and port")
	}
	cfg.setDefaults()
	c := &Client{
		cfg: cfg, clock: clockwork.NewRealClock(), random: rand.Float64,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: cfg.ReadIdleTimeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     60 * time.Second,
			DisableCompression:  true,
		},
		updates: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: cfg.ReadIdleTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		budget:  rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
		watches: make(chan struct{}, cfg.MaxWatches),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.writes = c.budget
	if cfg.WritesPerSecond > 0 {
		c.writes = rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.Burst)
	}
	c.LimitedClient = &LimitedClient{c: c, budget: rate.NewLimiter(rate.Inf, 1)}
	c.breaker = &breaker{min: cfg.MinBackoff, max: cfg.MaxBackoff, random: c.random}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c, nil
}

// WithBudget returns a siskin.Platform that is limited to perSecond calls a
// second with the given burst, in addition to the budget of the process.
func (c *Client) WithBudget(perSecond float64, burst int) *LimitedClient {
	return &LimitedClient{c: c, budget: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// SetBudget sets the calls and updates a second of the whole process. Bursts do
// not change. A rate that is not positive leaves its budget unchanged, and
// writesPerSecond is ignored when all calls share one budget.
func (c *Client) SetBudget(callsPerSecond, writesPerSecond float64) {
	now := c.clock.Now()
	if callsPerSecond > 0 {
		c.budget.SetLimitAt(now, rate.Limit(callsPerSecond))
	}
	if writesPerSecond > 0 && c.writes != c.budget {
		c.writes.SetLimitAt(now, rate.Limit(writesPerSecond))
	}
}

// Budget returns the calls and updates a second of the whole process.
func (c *Client) Budget() (callsPerSecond, writesPerSecond float64) {
	return float64(c.budget.Limit()), float64(c.writes.Limit())
}

// Close cancels all calls and waits for them to return.
func (c *Client) Close() error {
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	c.done.Wait()
	c.transport.CloseIdleConnections()
	return nil
}

// startCall returns a context for one call, which Close cancels. If bounded is
// set and ctx has no deadline, the call gets CallTimeout.
func (c *Client) startCall(ctx context.Context, bounded bool) (context.Context, func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return nil, nil, siskin.NewError(siskin.Unavailable, "the platform client is closed").WithRemedy("retry at another VM")
	}
	c.done.Add(1)
	cancel := context.CancelFunc(func() {})
	if _, ok := ctx.Deadline(); !ok && bounded {
		ctx, cancel = context.WithTimeout(ctx, c.cfg.CallTimeout)
	}
	ctx, cancelCause := context.WithCancel(ctx)
	detach := context.AfterFunc(c.ctx, cancelCause)
	return ctx, func() {
		detach()
		cancelCause()
		cancel()
		c.done.Done()
	}, nil
}

// wait sleeps for d and returns false if ctx is done first.
func (c *Client) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-c.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
