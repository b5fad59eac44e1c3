package spread

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// messageFaults injects faults into the messages between VMs. The zero value
// delivers all messages without delay.
type messageFaults struct {
	mu            sync.Mutex
	rng           *rand.Rand
	faultShare    float64       // share of messages that are lost, delayed or get no response
	maxDelay      time.Duration // upper bound of the delay of a message
	delivery      sync.WaitGroup
	lost, delayed int
}

var errNoResponse = errors.New("no response")

// set changes the share of faulty messages and the upper bound of the delays.
func (m *messageFaults) set(rng *rand.Rand, faultShare float64, maxDelay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rng, m.faultShare, m.maxDelay = rng, faultShare, maxDelay
}

// send delivers a message, drops it, drops its response, or delivers it after
// the caller has received an error.
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
	return errNoResponse
}

// wait waits for the delayed messages.
func (m *messageFaults) wait() { m.delivery.Wait() }
