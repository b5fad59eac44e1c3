package frame

import "encoding/binary"

// HeadSize is the size of a message's type and length.
const HeadSize = 5

// Head is the type and body length of one message.
type Head struct {
	Type byte
	Len  int // length of the body, without the length field
}

// Bytes returns the encoded head.
func (h Head) Bytes() [HeadSize]byte {
	b := [HeadSize]byte{h.Type}
	binary.BigEndian.PutUint32(b[1:], uint32(h.Len+4))
	return b
}
