package front

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"

	"siskintray.example/siskin"
)

// Request codes that take the place of the protocol version in a start-up
// packet.
const (
	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSS    = 80877104

	protocolMajor = 3
)

// maxStartupSize is the largest start-up packet in bytes, as in PostgreSQL.
const maxStartupSize = 10_000

// startupPacket is the body of a start-up packet, which has no type byte.
type startupPacket []byte

// readStartup reads one packet and nothing after it, since a TLS handshake may
// follow.
func readStartup(conn net.Conn) (startupPacket, error) {
	var size [4]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n < 8 || n > maxStartupSize {
		return nil, siskin.NewError(siskin.BadInput, "start-up packet has the invalid length %d", n).
			WithRemedy("check that the client speaks the PostgreSQL protocol 3.0")
	}
	p := make(startupPacket, n-4)
	_, err := io.ReadFull(conn, p)
	return p, err
}

func (p startupPacket) code() uint32 { return binary.BigEndian.Uint32(p) }

func (p startupPacket) cancel() (id uint32, secret []byte, ok bool) {
	if len(p) < 12 {
		return 0, nil, false
	}
	return binary.BigEndian.Uint32(p[4:]), p[8:], true
}

// parameters returns the name and value pairs of a start-up message.
func (p startupPacket) parameters() (map[string]string, error) {
	if p.code()>>16 != protocolMajor {
		return nil, siskin.NewError(siskin.BadInput, "protocol version %d.%d is not supported", p.code()>>16, p.code()&0xffff).
			WithRemedy("use a client that speaks the PostgreSQL protocol 3.0")
	}
	malformed := siskin.NewError(siskin.BadInput, "start-up message is malformed").
		WithRemedy("check that the client speaks the PostgreSQL protocol 3.0")
	params := make(map[string]string)
	b := []byte(p[4:])
	for len(b) > 0 && b[0] != 0 {
		var pair [2]string
		for i := range pair {
			end := bytes.IndexByte(b, 0)
			if end < 0 {
				return nil, malformed
			}
			pair[i], b = string(b[:end]), b[end+1:]
		}
		params[pair[0]] = pair[1]
	}
	if len(b) != 1 {
		return nil, malformed
	}
	return params, nil
}
