package frame

// Batch collects the messages of one batch of a caller in a pooled buffer, so
// that no part is sent before the batch is complete and the batch can be resent.
type Batch struct {
	buf *[BufferSize]byte
	n   int
}

// Bytes returns the collected messages.
func (b *Batch) Bytes() []byte {
	if b.buf == nil {
		return nil
	}
	return b.buf[:b.n]
}

// Fits reports whether n more bytes fit.
func (b *Batch) Fits(n int) bool { return b.n+n <= BufferSize }

// Append adds the parts if all of them fit and reports whether they did.
func (b *Batch) Append(parts ...[]byte) bool {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	if !b.Fits(size) {
		return false
	}
	if b.buf == nil {
		b.buf = getBuffer()
	}
	for _, p := range parts {
		b.n += copy(b.buf[b.n:], p)
	}
	return true
}

// Reset discards the messages and returns the buffer to the pool.
func (b *Batch) Reset() {
	b.n = 0
	if b.buf != nil {
		putBuffer(b.buf)
		b.buf = nil
	}
}
