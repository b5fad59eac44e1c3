package netem

import (
	"context"
	"net"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// dialTimeout bounds a connection attempt into a partition when the caller's
// context has no deadline.
const dialTimeout = 5 * time.Second

// Network knows where addresses are and the state of the links between them.
type Network struct {
	mu      sync.Mutex
	places  map[string]siskin.DataCentreID
	names   map[string]string
	delay   func(from, to siskin.DataCentreID) time.Duration
	cuts    map[link]bool
	changed chan struct{} // closed at each change of cuts
	conns   map[*conn]struct{}
	wg      sync.WaitGroup
}

// New returns a network whose one-way delay between data centres is given by
// delay.
func New(delay func(from, to siskin.DataCentreID) time.Duration) *Network {
	return &Network{
		places:  make(map[string]siskin.DataCentreID),
		names:   make(map[string]string),
		delay:   delay,
		cuts:    make(map[link]bool),
		changed: make(chan struct{}),
		conns:   make(map[*conn]struct{}),
	}
}

// Place records the host name and data centre of a listener's address.
func (n *Network) Place(address, host string, dc siskin.DataCentreID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = dc
	n.names[address] = host
}

// Dialer returns a dialer for a host in a data centre.
func (n *Network) Dialer(host string, dc siskin.DataCentreID) *Dialer {
	return &Dialer{net: n, host: host, dc: dc}
}

// Cut separates two sides; each is a host name or a data centre. Traffic
// between them is held until Heal, and new connections time out.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a Cut.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range []link{{a, b}, {b, a}} {
		if cut {
			n.cuts[l] = true
		} else {
			delete(n.cuts, l)
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// Silence makes the open connections to the given host go silent for good, but
// not those from the data centre except; new connections work. It returns
// their number.
func (n *Network) Silence(host string, except siskin.DataCentreID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.ends.toHost == host && c.ends.fromDC != except {
			c.silent.Store(true)
			count++
		}
	}
	return count
}

// Close closes all connections and waits for their copying goroutines.
func (n *Network) Close() error {
	n.mu.Lock()
	for c := range n.conns {
		c.close()
	}
	n.mu.Unlock()
	n.wg.Wait()
	return nil
}

// isCut reports whether traffic between the ends is held, and returns a channel
// that is closed at the next change.
func (n *Network) isCut(e ends) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.cuts) == 0 {
		return false, n.changed
	}
	for _, from := range []string{e.fromHost, string(e.fromDC)} {
		for _, to := range []string{e.toHost, string(e.toDC)} {
			if n.cuts[link{from, to}] {
				return true, n.changed
			}
		}
	}
	return false, n.changed
}

func (n *Network) dial(ctx context.Context, from *Dialer, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n.mu.Lock()
	e := ends{fromHost: from.host, fromDC: from.dc, toHost: n.names[address], toDC: n.places[address]}
	delay := n.delay(e.fromDC, e.toDC)
	n.mu.Unlock()
	for {
		cut, changed := n.isCut(e)
		if !cut {
			break
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
	select { // a TCP handshake takes one round trip
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(2 * delay):
	}
	var d net.Dialer
	real, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.wrap(real, e, delay), nil
}
