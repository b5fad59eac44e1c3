package load

import (
	"crypto/tls"
	"net"
)

// TLSFor returns the settings of TLS for one address, or nil without TLS.
func TLSFor(c *tls.Config, address string) *tls.Config {
	if c == nil {
		return nil
	}
	own := c.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		own.ServerName = host
	}
	return own
}
