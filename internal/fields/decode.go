package fields

import (
	"encoding/binary"
	"math"

	"siskintray.example/siskin"
)

// Body receives the fields of a decoded body. It ignores numbers that it does
// not know.
type Body interface {
	SetInt(k IntKey, v int64)
	SetText(k TextKey, text string)
}

// Decode passes the fields of b to body in order. The texts do not alias b.
func Decode(b []byte, body Body) error {
	for len(b) > 0 {
		key, n := binary.Uvarint(b)
		if n <= 0 || key>>1 > math.MaxUint32 {
			return errMalformed
		}
		b = b[n:]
		if key&1 == 0 {
			v, n := binary.Varint(b)
			if n <= 0 {
				return errMalformed
			}
			b = b[n:]
			body.SetInt(IntKey(key>>1), v)
			continue
		}
		size, n := binary.Uvarint(b)
		if n <= 0 || size > uint64(len(b)-n) {
			return errMalformed
		}
		end := n + int(size)
		body.SetText(TextKey(key>>1), string(b[n:end]))
		b = b[end:]
	}
	return nil
}

var errMalformed = siskin.NewError(siskin.BadInput, "a message from a VM is malformed").WithRemedy("run versions on all VMs that understand each other")
