package spread

import (
	"time"

	"siskintray.example/siskin"
)

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

// WithEvidence sets the receiver of proofs.
func WithEvidence(e Evidence) Option { return func(s *Spread) { s.evidence = e } }

type noEvidence struct{}

func (noEvidence) PlatformAnswered(time.Time) {}

func (noEvidence) PeerProof(time.Time, time.Duration) {}

func (noEvidence) PeerPlatform(siskin.DataCentreID, time.Time, bool) {}

func (noEvidence) Age(time.Time) time.Duration { return -1 }
