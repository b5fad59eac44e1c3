package procs

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// TestRestoredProcesses guards against promises that break when the store
// returns from older copies beside all other faults. The environment variables
// of TestProcesses apply.
func TestRestoredProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, seed := range seedsToPlay(seeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { playSeed(t, seed, true) })
	}
}

// restoreStore copies the store and makes it return from the copy, at random
// times while faults are played.
func (p *player) restoreStore(seed int64) {
	rng := rand.New(rand.NewSource(-seed))
	for end := time.Now().Add(playFor); time.Now().Before(end); {
		time.Sleep(time.Duration(100+rng.Intn(900)) * time.Millisecond)
		switch rng.Intn(3) {
		case 0:
			p.f.platform.CopyStore()
		case 1:
			p.returnFromCopy(time.Duration(rng.Intn(1000)) * time.Millisecond)
		default:
			p.f.configure(func() { p.f.extraRoute = !p.f.extraRoute })
		}
	}
}

// returnFromCopy makes the store return from the last copy. The operator and the
// targets write again after a pause.
func (p *player) returnFromCopy(pause time.Duration) {
	p.f.platform.RestoreStore()
	time.Sleep(pause)
	p.f.platform.Republish()
	p.f.rewrite()
}
