package spread

import (
	"time"

	"siskintray.example/siskin"
)

// ProofTracker records the proofs that this VM has the newest configuration.
// Its methods are called often and must not block.
type ProofTracker interface {
	// PlatformAnswered records that the platform responded to a request sent at
	// the given time and that this VM has the revision in the response.
	PlatformAnswered(sent time.Time)
	// PeerProof records the proof of a peer whose revision this VM has. The proof
	// had the given age when the request was sent.
	PeerProof(sent time.Time, age time.Duration)
	// PeerPlatform records whether the platform is down for a watcher of another
	// data centre.
	PeerPlatform(dc siskin.DataCentreID, sent time.Time, down bool)
	// Age returns the age of this VM's latest proof, negative without one.
	Age(now time.Time) time.Duration
}

// WithProofTracker sets the tracker that receives the proofs.
func WithProofTracker(t ProofTracker) Option { return func(s *Spread) { s.proofTracker = t } }

type noProofTracker struct{}

func (noProofTracker) PlatformAnswered(time.Time) {}

func (noProofTracker) PeerProof(time.Time, time.Duration) {}

func (noProofTracker) PeerPlatform(siskin.DataCentreID, time.Time, bool) {}

func (noProofTracker) Age(time.Time) time.Duration { return -1 }
