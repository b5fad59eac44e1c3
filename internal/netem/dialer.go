package netem

import (
	"context"
	"net"

	"siskintray.example/siskin"
)

// Dialer opens connections from one host.
type Dialer struct {
	net  *Network
	host string
	dc   siskin.DataCentreID
}

// DialContext has the shape of net.Dialer.DialContext.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.net.dial(ctx, d, network, address)
}
