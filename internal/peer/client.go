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

// ErrNotSent is wrapped by the errors of Call that guarantee that the peer did
// not receive the call.
var ErrNotSent = errors.New("the call was not sent")

// Client implements siskin.Peers.
type Client struct {
	cfg          Config
	counters     counters
	unresponsive atomic.Int64

	mu      sync.Mutex
	lookup  func(siskin.VMID) (address string, ok bool)
	entries map[siskin.VMID]*connEntry
	ctx     context.Context // cancelled by Close
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

// NewClient returns a client that resolves the addresses of VMs with lookup,
// which may be nil until SetLookup is called.
func NewClient(cfg Config, lookup func(siskin.VMID) (string, bool)) *Client {
	cfg.setDefaults()
	c := &Client{cfg: cfg, lookup: lookup, entries: make(map[siskin.VMID]*connEntry)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// SetLookup replaces the function that resolves the addresses of VMs.
func (c *Client) SetLookup(lookup func(siskin.VMID) (string, bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookup = lookup
}

// isAddressID reports whether vm is an id returned by siskin.AddressID.
func isAddressID(vm siskin.VMID) bool { return strings.HasPrefix(string(vm), "@") }

// Call implements siskin.Peers. An error of kind Unavailable means that no
// response arrived; unless it wraps ErrNotSent, the method may have run. An
// error that the method returned has kind Internal. One of kind Overloaded wraps
// ErrNotSent or ErrResponseDropped.
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
		return remoteError(vm, method, string(remote))
	case call.Error != nil:
		if kind := siskin.KindOf(call.Error); kind != siskin.Internal {
			return call.Error
		}
		if cc.unresponsive.Load() {
			return c.unavailable(vm, method, errors.New("the connection is unresponsive"))
		}
		return c.unavailable(vm, method, call.Error)
	}
	if err := decodeBody(*raw, reply); err != nil {
		return siskin.NewError(siskin.BadInput, "the response to %s from %s is malformed", method, vm).WithCause(err)
	}
	return nil
}

func (c *Client) unavailable(vm siskin.VMID, method string, err error) error {
	return siskin.NewError(siskin.Unavailable, "%s at %s: no response", method, vm).WithCause(err).WithRemedy("retry at another VM")
}

// conn returns the connection to vm and opens it if there is none. Concurrent
// callers share one dial attempt.
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
			e.conn.w.close() // the address of the VM changed
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

// open opens a connection and removes its entry when the connection closes. It
// runs in the background, so that a caller that gives up does not cancel the
// attempt for the others.
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

// Close closes all connections and waits for their goroutines.
func (c *Client) Close() error {
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}
