package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"

	"siskintray.example/siskin"
)

// ErrNotSent is in the chain of an error of Call when the peer cannot have
// received the call.
var ErrNotSent = errors.New("the call was not sent")

// Client implements siskin.Peers.
type Client struct {
	cfg          Config
	counters     counters
	unresponsive atomic.Int64

	mu      sync.Mutex
	lookup  func(siskin.VMID) (address string, ok bool)
	entries map[siskin.VMID]*connEntry
	ctx     context.Context // ends at Close
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// connEntry holds the connection to one peer, or the attempt to open it.
type connEntry struct {
	conn        *clientConn
	dialAttempt *dialAttempt
}

type dialAttempt struct {
	ready chan struct{}
	conn  *clientConn
	err   error
}

var _ siskin.Peers = (*Client)(nil)

// NewClient returns a client that finds the addresses of VMs with lookup,
// which may be nil until SetLookup.
func NewClient(cfg Config, lookup func(siskin.VMID) (string, bool)) *Client {
	cfg.setDefaults()
	c := &Client{cfg: cfg, lookup: lookup, entries: make(map[siskin.VMID]*connEntry)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// SetLookup replaces the function that finds the addresses of VMs.
func (c *Client) SetLookup(lookup func(siskin.VMID) (string, bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookup = lookup
}

// isAddressID recognizes the ids that siskin.AddressID returns.
func isAddressID(vm siskin.VMID) bool { return strings.HasPrefix(string(vm), "@") }

// Call implements siskin.Peers. An error of kind Unavailable says that no
// answer arrived; the method may have run all the same. An error that the
// method returned has kind Internal.
func (c *Client) Call(ctx context.Context, vm siskin.VMID, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		return siskin.NewError(siskin.Internal, "call of %s without a deadline", method).WithRemedy("pass a context with a deadline")
	}
	cc, err := c.conn(ctx, vm)
	if err != nil {
		return c.unavailable(vm, method, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	raw := new(json.RawMessage)
	call := cc.client.Go(method, args, raw, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return c.unavailable(vm, method, ctx.Err())
	}
	var remote rpc.ServerError
	switch {
	case errors.As(call.Error, &remote):
		return siskin.NewError(siskin.Internal, "%s at %s: %s", method, vm, string(remote))
	case call.Error != nil:
		if kind := siskin.KindOf(call.Error); kind != siskin.Internal {
			return call.Error
		}
		if cc.unresponsive.Load() {
			return c.unavailable(vm, method, errors.New("the connection is silent"))
		}
		return c.unavailable(vm, method, call.Error)
	}
	if err := json.Unmarshal(*raw, reply); err != nil {
		return siskin.NewError(siskin.BadInput, "the answer of %s at %s is malformed", method, vm).WithCause(err)
	}
	return nil
}

func (c *Client) unavailable(vm siskin.VMID, method string, err error) error {
	return siskin.NewError(siskin.Unavailable, "%s at %s gave no answer", method, vm).WithCause(err).WithRemedy("retry at another VM")
}

// conn returns the connection to vm and opens it when there is none. Callers
// that come while it is opened wait for the same attempt.
func (c *Client) conn(ctx context.Context, vm siskin.VMID) (*clientConn, error) {
	d, cc, err := c.connOrDial(vm)
	if d == nil {
		return cc, err
	}
	select {
	case <-d.ready:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) connOrDial(vm siskin.VMID) (*dialAttempt, *clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return nil, nil, net.ErrClosed
	}
	address, ok := strings.CutPrefix(string(vm), "@")
	if !ok && c.lookup != nil {
		address, ok = c.lookup(vm)
	}
	if !ok {
		return nil, nil, errors.New("the address of the VM is not known")
	}
	e := c.entries[vm]
	if e == nil {
		e = &connEntry{}
		c.entries[vm] = e
	}
	if e.conn != nil {
		select {
		case <-e.conn.w.stop:
			e.conn = nil
		default:
			if e.conn.address == address {
				return nil, e.conn, nil
			}
			e.conn.w.close() // the VM has moved
			e.conn = nil
		}
	}
	if e.dialAttempt == nil {
		e.dialAttempt = &dialAttempt{ready: make(chan struct{})}
		d := e.dialAttempt
		c.wg.Go(func() { c.open(vm, address, e, d) })
	}
	return e.dialAttempt, nil, nil
}

// open opens a connection independently of the callers that wait for it.
func (c *Client) open(vm siskin.VMID, address string, e *connEntry, d *dialAttempt) {
	ctx, cancel := context.WithTimeout(c.ctx, c.cfg.DialTimeout)
	defer cancel()
	d.conn, d.err = c.dialConn(ctx, vm, address)
	c.mu.Lock()
	e.conn, e.dialAttempt = d.conn, nil
	if e.conn == nil {
		delete(c.entries, vm)
	}
	c.mu.Unlock()
	close(d.ready)
	if d.conn == nil {
		return
	}
	<-d.conn.closed
	c.mu.Lock()
	if e.conn == d.conn && e.dialAttempt == nil {
		delete(c.entries, vm)
	}
	c.mu.Unlock()
}

// tlsConfig returns the TLS settings for one address.
func (c *Client) tlsConfig(address string) *tls.Config {
	cfg := c.cfg.TLS.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(address)
	}
	return cfg
}

// Close closes all connections and waits for them.
func (c *Client) Close() error {
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}
