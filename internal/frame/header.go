package frame

import "encoding/binary"

// HeaderSize is the size of a message header: the type and the length field.
const HeaderSize = 5

// Header holds the type and the body length of a message.
type Header struct {
	Type byte
	Len  int // length of the body, without the length field
}

// Bytes returns the encoded header.
func (h Header) Bytes() [HeaderSize]byte {
	b := [HeaderSize]byte{h.Type}
	binary.BigEndian.PutUint32(b[1:], uint32(h.Len+4))
	return b
}
