package frame

import "encoding/binary"

// HeaderSize is the size of a message's type and length.
const HeaderSize = 5

// Header is the type and body length of one message.
type Header struct {
	Type byte
	Len  int // length of the body, without the length field
}

// Bytes returns the encoded head.
func (h Header) Bytes() [HeaderSize]byte {
	b := [HeaderSize]byte{h.Type}
	binary.BigEndian.PutUint32(b[1:], uint32(h.Len+4))
	return b
}
