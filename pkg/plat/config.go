package plat

import (
	"context"
	"net"
	"time"

	"siskintray.example/siskin"
)

// Config holds the settings of a Client.
type Config struct {
	// Addresses are the IP numbers and ports of the platform, preferred first.
	Addresses []string
	// CallsPerSecond and Burst are the budget of the whole process; zero means
	// 2 calls a second with a burst of 20.
	CallsPerSecond float64
	Burst          int
	// WritesPerSecond is a separate budget for the updates of the whole process,
	// with a burst of Burst. Updates then do not count against CallsPerSecond.
	// Zero means that all calls share CallsPerSecond.
	WritesPerSecond float64
	// MaxWatches is the number of watches that may wait at once; zero means 8.
	MaxWatches int
	// CallTimeout bounds calls whose context has no deadline; zero means 10 s.
	CallTimeout time.Duration
	// ReadIdleTimeout is the time without received data after which a
	// connection counts as stalled; zero means 2.5 s. Stalled connections must
	// be detected within 3 s.
	ReadIdleTimeout time.Duration
	// LongPollWait is the maximum wait of one long poll of a watch; zero means 20 s.
	LongPollWait time.Duration
	// MinBackoff and MaxBackoff bound the delay before a retry; zero means
	// 50 ms and 10 s.
	MinBackoff, MaxBackoff time.Duration
}

func (cfg *Config) setDefaults() {
	setDefault(&cfg.CallsPerSecond, 2)
	setDefault(&cfg.Burst, 20)
	setDefault(&cfg.MaxWatches, 8)
	setDefault(&cfg.CallTimeout, 10*time.Second)
	setDefault(&cfg.ReadIdleTimeout, 2500*time.Millisecond)
	setDefault(&cfg.LongPollWait, 20*time.Second)
	setDefault(&cfg.MinBackoff, 50*time.Millisecond)
	setDefault(&cfg.MaxBackoff, 10*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Option configures a Client.
type Option func(*Client)

// WithClock sets the clock of budgets and delays.
func WithClock(clock siskin.Clock) Option { return func(c *Client) { c.clock = clock } }

// WithDialer replaces the function that opens connections, for instance by one
// that injects faults.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.transport.DialContext, c.updates.DialContext = dial, dial }
}

// WithRandom sets the source of jitter, which returns numbers in [0, 1).
func WithRandom(random func() float64) Option { return func(c *Client) { c.random = random } }
