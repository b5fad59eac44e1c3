package memory

import (
	"math/bits"
	"sync"
	"unsafe"
)

const (
	// minClass and maxClass are the sizes of the smallest and largest buffers that are
	// used again, as powers of two.
	minClass = 13
	maxClass = 22
	// slack is added to each, so that the largest message fits with its line end.
	slack = 64
)

// pools hold the buffers that are used again, by class. A buffer that doubles as its
// message arrives would otherwise leave twice the message as garbage, which arrives faster
// than it is collected when hundreds of clients send at once.
var pools [maxClass - minClass + 1]sync.Pool

// class returns the class of the smallest buffers with n bytes.
func class(n int) int { return max(0, bits.Len(uint(max(1, n-slack)-1))-minClass) }

// GetBuffer returns an empty buffer with room for n bytes. Its content is arbitrary.
func GetBuffer(n int) []byte {
	if n <= FreeSize || n > 1<<maxClass+slack {
		return make([]byte, 0, n)
	}
	c := class(n)
	size := 1<<(c+minClass) + slack
	if p, ok := pools[c].Get().(*byte); ok {
		return unsafe.Slice(p, size)[:0]
	}
	return make([]byte, 0, size)
}

// PutBuffer gives back a buffer that nothing refers to any more.
func PutBuffer(b []byte) {
	if n := cap(b) - slack; n >= 1<<minClass && n <= 1<<maxClass && n&(n-1) == 0 {
		pools[class(cap(b))].Put(unsafe.SliceData(b))
	}
}
