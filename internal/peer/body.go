package peer

import (
	"bytes"
	"encoding"
	"encoding/json"
)

// binaryBody is implemented by arguments and replies with texts that must
// arrive byte for byte, which JSON does not guarantee.
type binaryBody interface {
	encoding.BinaryAppender
	encoding.BinaryUnmarshaler
}

// binaryMarker is the first byte of a binary body. No JSON text begins with it.
const binaryMarker = 1

// isBinary reports whether an encoded body is binary.
func isBinary(b []byte) bool { return len(b) > 0 && b[0] == binaryMarker }

// elementSize is about the memory of a decoded element of a list, in bytes.
const elementSize = 48

// decodedSize estimates the memory that the elements of a JSON body take when it is
// decoded. It may be many times the size of the body. Binary bodies bound theirs.
func decodedSize(b []byte) int {
	if isBinary(b) {
		return 0
	}
	return bytes.Count(b, []byte{','}) * elementSize
}

// encodeBody encodes arguments or a reply, as JSON unless both the receiver and
// the body support the binary encoding.
func encodeBody(body any, binary bool) ([]byte, error) {
	if b, ok := body.(binaryBody); ok && binary {
		return b.AppendBinary([]byte{binaryMarker})
	}
	return json.Marshal(body)
}

// decodeBody decodes arguments or a reply in either encoding.
func decodeBody(b []byte, body any) error {
	if d, ok := body.(binaryBody); ok && isBinary(b) {
		return d.UnmarshalBinary(b[1:])
	}
	return json.Unmarshal(b, body)
}
