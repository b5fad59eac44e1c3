package frame

import "io"

// Message is a protocol message that encodes itself, such as those of pgproto3.
type Message interface {
	Encode(dst []byte) ([]byte, error)
}

// Writer collects messages in a pooled buffer, which it holds only until the
// next Flush. After the first error, all later writes return that error.
type Writer struct {
	dst io.Writer
	buf *[BufferSize]byte
	n   int
	err error
	// truncated is true if the body of the last message is incomplete.
	truncated bool
	// header is a field because a local array would be allocated for each
	// message.
	header [HeaderSize]byte
}

// NewWriter returns a Writer to dst.
func NewWriter(dst io.Writer) *Writer { return &Writer{dst: dst} }

// Buffered returns the number of bytes not yet flushed.
func (w *Writer) Buffered() int { return w.n }

// Err returns the first error.
func (w *Writer) Err() error { return w.err }

// Raw appends b and flushes whenever the buffer is full.
func (w *Writer) Raw(b []byte) error {
	for len(b) > 0 && w.err == nil {
		if w.buf == nil {
			if len(b) >= BufferSize {
				_, w.err = w.dst.Write(b)
				return w.err
			}
			w.buf = getBuffer()
		}
		n := copy(w.buf[w.n:], b)
		w.n += n
		b = b[n:]
		if w.n == BufferSize {
			w.write()
		}
	}
	return w.err
}

// Header appends the header of a message whose body is then written with Raw.
func (w *Writer) Header(h Header) error {
	w.header = h.Bytes()
	return w.Raw(w.header[:])
}

// Message appends the encoded form of m.
func (w *Writer) Message(m Message) error {
	if w.err != nil {
		return w.err
	}
	if w.buf == nil {
		w.buf = getBuffer()
	}
	b, err := m.Encode(w.buf[w.n:w.n:BufferSize])
	if err != nil {
		w.err = err
		return err
	}
	if w.n+len(b) < BufferSize {
		w.n += len(b) // Encode wrote directly into the buffer
		return nil
	}
	return w.Raw(b)
}

// Copy appends the current message of r, whose header is h. If it fails within
// the body, nothing may be written after it; see Truncated.
func (w *Writer) Copy(h Header, r *Reader) error {
	w.truncated = true
	err := w.Header(h)
	if err == nil {
		err = r.CopyBody(w)
	}
	w.truncated = err != nil
	return err
}

// Truncated reports whether the last Copy ended within its message. The receiver
// would read any further bytes as the rest of that message.
func (w *Writer) Truncated() bool { return w.truncated }

func (w *Writer) write() {
	if w.n > 0 && w.err == nil {
		_, w.err = w.dst.Write(w.buf[:w.n])
	}
	w.n = 0
}

// Flush writes the buffered bytes and returns the buffer to the pool.
func (w *Writer) Flush() error {
	if w.buf == nil {
		return w.err
	}
	w.write()
	putBuffer(w.buf)
	w.buf = nil
	return w.err
}

// Discard drops the buffered bytes and returns the buffer to the pool.
func (w *Writer) Discard() {
	w.n = 0
	if w.buf != nil {
		putBuffer(w.buf)
		w.buf = nil
	}
}
