package fields

import "encoding/binary"

// IntKey is the number of an integer field, and TextKey that of a text field.
// Numbers below 64 take one byte. Integer and text fields are numbered
// separately.
type (
	IntKey  uint32
	TextKey uint32
)

// AppendInt appends an integer field unless v is zero.
func AppendInt[T ~int | ~int64 | ~uint64](b []byte, k IntKey, v T) []byte {
	if v == 0 {
		return b
	}
	b = binary.AppendUvarint(b, uint64(k)<<1)
	return binary.AppendVarint(b, int64(v))
}

// AppendBool appends an integer field with the value 1 if v is true.
func AppendBool(b []byte, k IntKey, v bool) []byte {
	if !v {
		return b
	}
	return AppendInt(b, k, 1)
}

// AppendText appends a text field unless s is empty.
func AppendText[T ~string](b []byte, k TextKey, s T) []byte {
	if s == "" {
		return b
	}
	return AppendElement(b, k, s)
}

// AppendElement appends a text field, also if s is empty. It is used for the
// elements of lists.
func AppendElement[T ~string](b []byte, k TextKey, s T) []byte {
	b = binary.AppendUvarint(b, uint64(k)<<1|1)
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}
