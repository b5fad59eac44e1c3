package frame

// HeadSize is the size of a message's type and length.
const HeadSize = 5

// Head is the type and body length of one message.
type Head struct {
	Type byte
	Len  int // length of the body, without the length field
}
