package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
)

// pingMethod is the keepalive method, which every Server answers.
const pingMethod = "Peer.Ping"

// clientConn is one connection to a peer.
type clientConn struct {
	client       *rpc.Client
	w            *writer
	keepalive    *keepalive
	address      string
	unresponsive atomic.Bool
	closed       chan struct{}
}

// dialConn opens a connection and exchanges Hello frames. It fails if the peer
// is not the expected VM, since the address may now belong to another VM.
func (c *Client) dialConn(ctx context.Context, vm siskin.VMID, address string) (*clientConn, error) {
	if err := c.cfg.checkAddress(address); err != nil {
		return nil, err
	}
	if c.cfg.dropped(c.cfg.Self, vm) || c.cfg.dropped(vm, c.cfg.Self) {
		<-ctx.Done() // a cut link also loses the packets that open a connection
		return nil, ctx.Err()
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.cfg.TLS != nil {
		conn = tls.Client(conn, c.tlsConfig(address))
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	r := bufio.NewReader(conn)
	h, err := exchangeHello(conn, r, c.cfg.Self)
	if err == nil && h.vm != vm && !isAddressID(vm) {
		err = siskin.NewError(siskin.Unavailable, "%s is the address of %s, not of %s", address, h.vm, vm).WithRemedy("wait until the member list is up to date")
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return c.startConn(conn, r, h, address), nil
}

func (c *Client) startConn(conn net.Conn, r *bufio.Reader, h hello, address string) *clientConn {
	cc := &clientConn{
		w:         newWriter(conn, &c.cfg),
		keepalive: newKeepalive(&c.cfg, time.Now),
		address:   address,
		closed:    make(chan struct{}),
	}
	codec := &clientCodec{cfg: &c.cfg, counters: &c.counters, to: h.vm, binary: h.binary, r: r, w: cc.w, keepalive: cc.keepalive, requests: newOutstanding()}
	codec.memory.Move(c.cfg.Memory.Peers())
	cc.client = rpc.NewClientWithCodec(codec)
	c.wg.Go(cc.w.run)
	c.wg.Go(func() { c.watchConn(cc) })
	return cc
}

// watchConn sends keepalive pings and closes the connection when it is
// unresponsive or idle.
func (c *Client) watchConn(cc *clientConn) {
	defer close(cc.closed)
	defer cc.client.Close()
	_, wait := cc.keepalive.check()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-cc.w.stop:
			return
		case <-c.ctx.Done():
			return
		case <-timer.C:
		}
		next, wait := cc.keepalive.check()
		switch next {
		case closeUnresponsive:
			cc.unresponsive.Store(true)
			c.unresponsive.Add(1)
			return
		case closeIdle:
			return
		case sendPing:
			cc.client.Go(pingMethod, struct{}{}, new(json.RawMessage), make(chan *rpc.Call, 1))
		}
		timer.Reset(wait)
	}
}
