package siskin

import (
	"context"
	"net"
)

// DialFunc opens a connection. It has the shape of net.Dialer.DialContext, so
// that tests and experiments can put delays and faults between two ends.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
