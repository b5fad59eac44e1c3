package spread

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// messages decides what happens to each message between VMs. The zero value
// delivers all of them at once.
type messages struct {
	mu          sync.Mutex
	rng         *rand.Rand
	share       float64       // share of messages that are lost or late
	longest     time.Duration // longest delay of a late message
	delivery    sync.WaitGroup
	lost, later int
}

var errNoAnswer = errors.New("no answer")

// set changes the share of messages that are lost or late.
func (m *messages) set(rng *rand.Rand, share float64, longest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rng, m.share, m.longest = rng, share, longest
}

// send delivers a message, or loses it, or loses its answer, or delivers it
// after the caller gave up.
func (m *messages) send(deliver func() error) error {
	m.mu.Lock()
	if m.share == 0 || m.rng.Float64() >= m.share {
		m.mu.Unlock()
		return deliver()
	}
	defer m.mu.Unlock()
	m.lost++
	switch m.rng.IntN(3) {
	case 0:
		m.delivery.Go(func() { _ = deliver() })
	case 1:
		m.later++
		delay := time.Duration(m.rng.Int64N(int64(m.longest)))
		m.delivery.Go(func() {
			time.Sleep(delay)
			_ = deliver()
		})
	}
	return errNoAnswer
}

// wait waits for the messages that are late.
func (m *messages) wait() { m.delivery.Wait() }
