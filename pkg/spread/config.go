package spread

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Config holds the settings of a Spread.
type Config struct {
	// ExchangeInterval is the time between two exchanges (anti-entropy) with a
	// random VM; zero means 1 s.
	ExchangeInterval time.Duration
	// CallTimeout bounds one call to a peer; zero means 2 s.
	CallTimeout time.Duration
	// SnapshotEvery is the number of changes after which the snapshot is
	// rewritten; zero means 32.
	SnapshotEvery siskin.Revision
	// StatusInterval is the minimum time between two writes of the revisions
	// of a data centre to the platform; zero means 5 s.
	StatusInterval time.Duration
	// Validate returns the reasons to refuse a change; a change without findings
	// is accepted. The view is the configuration before the change. Nil means
	// config.Validate.
	Validate func(view config.View, change *config.Change) config.Findings
}

const (
	// fanOut is the number of VMs that one VM pushes a change to. A tree with
	// this fan-out reaches 2,800 VMs in 4 hops.
	fanOut = 8
	// watcherCount is the number of VMs per data centre that watch the head.
	watcherCount = 2
	// maxPageBytes bounds the documents in one response, well below the size
	// limit of messages between VMs.
	maxPageBytes = 512 << 10
	// maxRecent bounds the changes listed in the head, at about 120 bytes each.
	maxRecent = 1000
	// minRecent is the number of latest changes that the head lists even when the
	// snapshot covers them, so that a retry after a lost response finds its
	// operation.
	minRecent = 64
	// remoteExchangeEvery makes every 8th exchange go to another data centre.
	remoteExchangeEvery = 8
	// collectorExchangeEvery makes every 4th exchange go to the VM that collects
	// the revisions of the data centre.
	collectorExchangeEvery = 4
)

// watcherPushDelay is the time that the first and the second watcher wait for a
// push from another VM before they push a change themselves.
var watcherPushDelay = [watcherCount]time.Duration{150 * time.Millisecond, 500 * time.Millisecond}

func (cfg *Config) setDefaults() {
	setDefault(&cfg.ExchangeInterval, time.Second)
	setDefault(&cfg.CallTimeout, 2*time.Second)
	setDefault(&cfg.SnapshotEvery, 32)
	setDefault(&cfg.StatusInterval, 5*time.Second)
	if cfg.Validate == nil {
		cfg.Validate = config.Validate
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
