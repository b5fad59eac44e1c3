package objapi

import "time"

// Config holds the settings of one stand-in platform.
type Config struct {
	// Listen is the address of the API; empty means a free loopback port.
	Listen string
	// Admin is the address of the admin API; empty means a free loopback port.
	Admin string
	// VMLag is how long a change of the list of VMs stays invisible.
	VMLag time.Duration
	// CallsPerSecond is the budget of all callers together; zero means 2500.
	CallsPerSecond float64
	// MaxWatches is the number of watches that may wait; zero means 1000.
	MaxWatches int
	// Seed seeds the random loss of answers.
	Seed uint64
}

func (cfg *Config) setDefaults() {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Admin == "" {
		cfg.Admin = "127.0.0.1:0"
	}
	if cfg.CallsPerSecond == 0 {
		// The platform carries several hundred writes and about 2,000 reads a
		// second.
		cfg.CallsPerSecond = 2500
	}
	if cfg.MaxWatches == 0 {
		cfg.MaxWatches = 1000
	}
}

// Option changes a Server before it starts.
type Option func(*Server)
