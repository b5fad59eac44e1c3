package spread

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// messageFaults decides what happens to each message between VMs. The zero value
// delivers all of them at once.
type messageFaults struct {
	mu            sync.Mutex
	rng           *rand.Rand
	faultShare    float64       // share of messages that are lost or late
	maxDelay      time.Duration // longest delay of a late message
	delivery      sync.WaitGroup
	lost, delayed int
}

var errNoAnswer = errors.New("no answer")

// set changes the share of messages that are lost or late.
func (m *messageFaults) set(rng *rand.Rand, faultShare float64, maxDelay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rng, m.faultShare, m.maxDelay = rng, faultShare, maxDelay
}

// send delivers a message, or loses it, or loses its answer, or delivers it
// after the caller gave up.
func (m *messageFaults) send(deliver func() error) error {
	m.mu.Lock()
	if m.faultShare == 0 || m.rng.Float64() >= m.faultShare {
		m.mu.Unlock()
		return deliver()
	}
	defer m.mu.Unlock()
	m.lost++
	switch m.rng.IntN(3) {
	case 0:
		m.delivery.Go(func() { _ = deliver() })
	case 1:
		m.delayed++
		delay := time.Duration(m.rng.Int64N(int64(m.maxDelay)))
		m.delivery.Go(func() {
			time.Sleep(delay)
			_ = deliver()
		})
	}
	return errNoAnswer
}

// wait waits for the messages that are late.
func (m *messageFaults) wait() { m.delivery.Wait() }
