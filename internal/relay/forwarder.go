package relay

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/pool"
)

// peerUser is the user name of connections between VMs.
const peerUser = "siskintray-peer"

// maxConnsPerPeer limits the connections to one peer. Each carries one
// transaction at a time.
const maxConnsPerPeer = 256

// peerOpenTime is an upper bound for a TLS handshake between two data centres.
const peerOpenTime = 50 * time.Millisecond

// Forwarder runs transactions at the homes of other VMs over pooled
// connections.
type Forwarder struct {
	clock siskin.Clock
	pool  *pool.Pool
}

// NewForwarder returns a Forwarder that uses cfg for TLS connections to peers,
// or no TLS if it is nil. If open is not nil, it replaces
// net.Dialer.DialContext.
func NewForwarder(clock siskin.Clock, cfg *tls.Config, open siskin.DialFunc) *Forwarder {
	if open == nil {
		open = new(net.Dialer).DialContext
	}
	return &Forwarder{clock: clock, pool: pool.New(clock, peerDialer{cfg, open})}
}

// Close waits for transactions in progress until ctx ends, and closes the
// connections.
func (f *Forwarder) Close(ctx context.Context) { f.pool.Close(ctx) }

// Stats returns the connections per peer.
func (f *Forwarder) Stats() map[pool.Key]pool.Stats { return f.pool.Stats() }

// Begin leases a connection to the home and buffers the header, which is sent
// with the first batch. If it fails, nothing of the transaction was sent.
func (f *Forwarder) Begin(home siskin.VM, hdr *Header) (executor Executor, failure *Failure) {
	key := pool.Key{Target: siskin.TargetID(home.ID)}
	f.pool.Own(key, pool.SlotConfig{Address: home.ForwardAddress, Limit: maxConnsPerPeer, OpenTime: peerOpenTime, Stateless: true})
	deadline := f.clock.Now().Add(hdr.Remaining)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	conn, err := f.pool.Get(ctx, key, pool.Full, hdr.Request)
	if err != nil {
		return nil, unsentFailure(err)
	}
	defer func() {
		if executor == nil && failure == nil { // a panic
			conn.Close(nil)
		}
	}()
	hdr.Remaining = deadline.Sub(f.clock.Now())
	// The home ends the transaction at the deadline. Its failure takes a little
	// longer to arrive.
	if err := conn.SetDeadline(deadline.Add(time.Second)); err != nil {
		conn.Close(err)
		return nil, unsentFailure(err)
	}
	if err := conn.W.Message(hdr); err != nil {
		conn.Close(err)
		return nil, unsentFailure(err)
	}
	return &remoteExecutor{conn: conn, home: home.ID, request: hdr.Request}, nil
}

// Drop closes the connections to a VM that has left the cluster.
func (f *Forwarder) Drop(vm siskin.VMID) { f.pool.Drop(pool.Key{Target: siskin.TargetID(vm)}) }

// peerDialer opens connections to the forward addresses of other VMs.
type peerDialer struct {
	tls *tls.Config
	net siskin.DialFunc
}

func (d peerDialer) open(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.net(ctx, "tcp", address)
	if err != nil || d.tls == nil {
		return conn, err
	}
	cfg := d.tls
	if cfg.ServerName == "" && !cfg.InsecureSkipVerify {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			conn.Close()
			return nil, err
		}
		cfg = cfg.Clone()
		cfg.ServerName = host
	}
	secure := tls.Client(conn, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secure, nil
}

// Dial implements pool.Dialer.
func (d peerDialer) Dial(ctx context.Context, _ pool.Key, cfg pool.SlotConfig, _ pool.Account) (pool.DialedConn, error) {
	conn, err := d.open(ctx, cfg.Address)
	if err != nil {
		return pool.DialedConn{}, err
	}
	o, err := peerStartup(ctx, conn)
	if err != nil {
		conn.Close()
	}
	return o, err
}

func peerStartup(ctx context.Context, conn net.Conn) (pool.DialedConn, error) {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return pool.DialedConn{}, err
	}
	fe := pgproto3.NewFrontend(conn, conn)
	fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": peerUser},
	})
	if err := fe.Flush(); err != nil {
		return pool.DialedConn{}, err
	}
	o := pool.DialedConn{Conn: conn}
	for {
		msg, err := fe.Receive()
		if err != nil {
			return pool.DialedConn{}, err
		}
		switch msg := msg.(type) {
		case *pgproto3.BackendKeyData:
			o.ProcessID, o.Secret = msg.ProcessID, msg.SecretKey
		case *pgproto3.ReadyForQuery:
			return o, conn.SetDeadline(time.Time{})
		}
	}
}

// Cancel implements pool.Dialer.
func (d peerDialer) Cancel(ctx context.Context, address string, processID uint32, secret []byte) error {
	conn, err := d.open(ctx, address)
	if err != nil {
		return err
	}
	return pool.SendCancel(ctx, conn, processID, secret)
}
