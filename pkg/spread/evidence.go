package spread

import (
	"time"

	"siskintray.example/siskin"
)

// ProofTracker is told what proves that this VM knows the newest configuration. It
// is called often and must not block.
type ProofTracker interface {
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

// WithProofTracker sets the receiver of proofs.
func WithProofTracker(e ProofTracker) Option { return func(s *Spread) { s.proofTracker = e } }

type noProofTracker struct{}

func (noProofTracker) PlatformAnswered(time.Time) {}

func (noProofTracker) PeerProof(time.Time, time.Duration) {}

func (noProofTracker) PeerPlatform(siskin.DataCentreID, time.Time, bool) {}

func (noProofTracker) Age(time.Time) time.Duration { return -1 }
