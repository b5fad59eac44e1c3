package peer

import (
	"encoding/binary"
	"errors"
)

type frameKind byte

const (
	helloFrame frameKind = iota + 1
	requestFrame
	responseFrame
	errorFrame
)

// frame is one message. The body of an errorFrame is the error text.
type frame struct {
	kind   frameKind
	seq    uint64
	method string
	body   []byte
}

var (
	errMalformedFrame = errors.New("malformed frame")
	// errUnexpectedResponse is the error of a response that no request of its
	// method is waiting for.
	errUnexpectedResponse = errors.New("a response that fits no request")
)

// encode returns the encoded frame with its length prefix.
func (f frame) encode() []byte {
	b := make([]byte, 4, 4+1+2*binary.MaxVarintLen64+len(f.method)+len(f.body))
	b = append(b, byte(f.kind))
	b = binary.AppendUvarint(b, f.seq)
	b = binary.AppendUvarint(b, uint64(len(f.method)))
	b = append(b, f.method...)
	b = append(b, f.body...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

// parseFrame decodes a frame without its length prefix. The body of the result
// aliases b.
func parseFrame(b []byte) (frame, error) {
	if len(b) == 0 {
		return frame{}, errMalformedFrame
	}
	f := frame{kind: frameKind(b[0])}
	if f.kind < helloFrame || f.kind > errorFrame {
		return frame{}, errMalformedFrame
	}
	b = b[1:]
	seq, n := binary.Uvarint(b)
	if n <= 0 {
		return frame{}, errMalformedFrame
	}
	size, m := binary.Uvarint(b[n:])
	if m <= 0 || size > uint64(len(b)-n-m) {
		return frame{}, errMalformedFrame
	}
	b = b[n+m:]
	f.seq, f.method, f.body = seq, string(b[:size]), b[size:]
	return f, nil
}
