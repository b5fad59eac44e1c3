package siskin

import (
	"context"
	"net"
)

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext,
// so that tests and experiments can inject delays and faults into connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
