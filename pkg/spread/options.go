package spread

import (
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Option changes how a Spread is made.
type Option func(*settings)

type settings struct {
	clock    siskin.Clock
	validate func(view config.View, change *config.Change) error
	evidence Evidence
	interval time.Duration
	fanout   int
	logf     func(format string, args ...any)
}

// Evidence is told what proves that this VM knows the newest configuration. It
// is called often and must not block.
type Evidence interface {
	// PlatformAnswered says that the platform answered a question that was sent
	// at the given time and that this VM has the revision which it named.
	PlatformAnswered(sent time.Time)
	// PeerProof says that a VM whose revision this VM has gave its proof, which
	// was age old when the question was sent.
	PeerProof(sent time.Time, age time.Duration)
	// PeerPlatform says whether a watcher of another data centre can reach the
	// platform.
	PeerPlatform(dc siskin.DataCentreID, sent time.Time, down bool)
	// Age returns how old this VM's proof is, negative without one.
	Age(now time.Time) time.Duration
}

// Defaults of the options.
const (
	// defaultInterval is the time between two questions to random peers.
	defaultInterval = time.Second
	// defaultFanout is the number of VMs to which a VM pushes a new change.
	// With 4, a data centre of 175 VMs is reached in 4 rounds.
	defaultFanout = 4
)

func defaults() settings {
	return settings{
		clock:    clockwork.NewRealClock(),
		validate: func(view config.View, change *config.Change) error { return config.Validate(view, change).Err() },
		evidence: noEvidence{},
		interval: defaultInterval,
		fanout:   defaultFanout,
		logf:     func(string, ...any) {},
	}
}

// WithClock sets the clock.
func WithClock(clock siskin.Clock) Option { return func(s *settings) { s.clock = clock } }

// WithValidate sets the function that accepts or refuses a change as a whole.
func WithValidate(f func(view config.View, change *config.Change) error) Option {
	return func(s *settings) { s.validate = f }
}

// WithEvidence sets the receiver of proofs.
func WithEvidence(e Evidence) Option { return func(s *settings) { s.evidence = e } }

// WithInterval sets the time between two questions to random peers.
func WithInterval(d time.Duration) Option { return func(s *settings) { s.interval = d } }

// WithLogf sets the function that receives messages about failed calls.
func WithLogf(logf func(format string, args ...any)) Option {
	return func(s *settings) { s.logf = logf }
}

type noEvidence struct{}

func (noEvidence) PlatformAnswered(time.Time) {}

func (noEvidence) PeerProof(time.Time, time.Duration) {}

func (noEvidence) PeerPlatform(siskin.DataCentreID, time.Time, bool) {}

func (noEvidence) Age(time.Time) time.Duration { return -1 }
