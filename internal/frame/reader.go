package frame

import (
	"encoding/binary"
	"io"

	"siskintray.example/siskin"
)

// Reader reads messages from a stream. It holds a small buffer while idle and
// takes a pooled one when a message or a burst of messages needs more.
type Reader struct {
	src       io.Reader
	small     [smallBufferSize]byte
	pooled    *[BufferSize]byte
	r, w      int
	remaining int // unread body bytes of the current message
}

// NewReader returns a Reader of src.
func NewReader(src io.Reader) *Reader { return &Reader{src: src} }

func (r *Reader) buf() []byte {
	if r.pooled != nil {
		return r.pooled[:]
	}
	return r.small[:]
}

// Buffered returns the number of bytes read from the stream but not consumed.
func (r *Reader) Buffered() int { return r.w - r.r }

// Remaining returns the number of unread body bytes of the current message.
func (r *Reader) Remaining() int { return r.remaining }

// Release returns the pooled buffer if the unconsumed bytes fit into the small
// one.
func (r *Reader) Release() {
	if r.pooled == nil {
		return
	}
	if n := r.Buffered(); n <= smallBufferSize {
		copy(r.small[:], r.pooled[r.r:r.w])
		r.r, r.w = 0, n
		putBuffer(r.pooled)
		r.pooled = nil
	}
}

// fill reads until at least n bytes are buffered; n is at most BufferSize.
func (r *Reader) fill(n int) error {
	for r.Buffered() < n {
		if r.r == r.w {
			r.r, r.w = 0, 0
		}
		buf := r.buf()
		if r.r+n > len(buf) || r.w == len(buf) {
			if r.pooled == nil && n > smallBufferSize {
				r.usePooledBuffer()
				continue
			}
			r.w = copy(buf, buf[r.r:r.w])
			r.r = 0
		}
		m, err := r.src.Read(buf[r.w:])
		r.w += m
		if m > 0 && r.pooled == nil && r.w == smallBufferSize {
			r.usePooledBuffer() // a full small buffer suggests that more data is available
		}
		if err != nil && r.Buffered() < n {
			if err == io.EOF && r.Buffered() > 0 {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

func (r *Reader) usePooledBuffer() {
	pooled := getBuffer()
	n := copy(pooled[:], r.small[r.r:r.w])
	r.r, r.w, r.pooled = 0, n, pooled
}

// Peek returns the header of the next message without consuming it. It first
// discards the rest of the current message. An interrupted Peek can be repeated.
func (r *Reader) Peek() (Header, error) {
	if err := r.Skip(); err != nil {
		return Header{}, err
	}
	if err := r.fill(HeaderSize); err != nil {
		return Header{}, err
	}
	b := r.buf()[r.r:]
	n := binary.BigEndian.Uint32(b[1:])
	if n < 4 || n > 1<<30 {
		return Header{}, siskin.NewError(siskin.BadInput, "message %q has the invalid length %d", b[0], n).
			WithRemedy("check that the client speaks the PostgreSQL protocol 3.0")
	}
	return Header{Type: b[0], Len: int(n) - 4}, nil
}

// Next consumes and returns the header of the next message. The body is then
// read with Body, CopyBody or Skip.
func (r *Reader) Next() (Header, error) {
	h, err := r.Peek()
	if err != nil {
		return Header{}, err
	}
	r.r += HeaderSize
	r.remaining = h.Len
	return h, nil
}

// Body returns the rest of the current message's body. The slice is valid until
// the next call. A body above BufferSize is read into a newly allocated slice. A
// body above limit is an error of kind TooLarge and is left unread.
func (r *Reader) Body(limit int) ([]byte, error) {
	n := r.remaining
	if n > limit {
		return nil, siskin.NewError(siskin.TooLarge, "message of %d bytes is above the limit of %d", n, limit).
			WithRemedy("send the data in smaller statements or with COPY")
	}
	if n > BufferSize {
		return r.readLargeBody(func(int) bool { return true })
	}
	return r.smallBody(n)
}

// ChargedBody is like Body, but reserves the memory of a body above BufferSize with
// take while it arrives. Without memory the error is of kind Overloaded, and the rest
// of the body is left unread.
func (r *Reader) ChargedBody(limit int, take func(n int) bool) ([]byte, error) {
	if n := r.remaining; n > limit || n <= BufferSize {
		return r.Body(limit)
	}
	return r.readLargeBody(take)
}

func (r *Reader) smallBody(n int) ([]byte, error) {
	if err := r.fill(n); err != nil {
		return nil, err
	}
	body := r.buf()[r.r : r.r+n : r.r+n]
	r.r += n
	r.remaining = 0
	return body, nil
}

// readLargeBody reads a body into a slice that grows with the data received, so
// that a header alone cannot cause a large allocation.
func (r *Reader) readLargeBody(take func(n int) bool) ([]byte, error) {
	var body []byte
	for r.remaining > 0 {
		if r.Buffered() == 0 {
			if err := r.fill(1); err != nil {
				return nil, err
			}
		}
		m := min(r.remaining, r.Buffered())
		if body == nil { // not before the first bytes are there
			body = make([]byte, 0, BufferSize)
		}
		if size := len(body) + m; size > cap(body) {
			size = max(size, min(2*cap(body), len(body)+r.remaining))
			if !take(size - cap(body)) {
				return nil, siskin.NewError(siskin.Overloaded, "messages use too much memory at this VM").WithRemedy("retry later")
			}
			body = append(make([]byte, 0, size), body...)
		}
		body = append(body, r.buf()[r.r:r.r+m]...)
		r.r += m
		r.remaining -= m
	}
	return body, nil
}

// CopyBody copies the rest of the current message's body to w.
func (r *Reader) CopyBody(w *Writer) error {
	for r.remaining > 0 {
		if r.Buffered() == 0 {
			if r.remaining > smallBufferSize && r.pooled == nil {
				r.r, r.w = 0, 0
				r.usePooledBuffer()
			}
			if err := r.fill(1); err != nil {
				return err
			}
		}
		n := min(r.remaining, r.Buffered())
		err := w.Raw(r.buf()[r.r : r.r+n])
		r.r += n
		r.remaining -= n
		if err != nil {
			return err
		}
	}
	return nil
}

// Skip discards the rest of the current message's body.
func (r *Reader) Skip() error {
	for r.remaining > 0 {
		if r.Buffered() == 0 {
			if err := r.fill(1); err != nil {
				return err
			}
		}
		n := min(r.remaining, r.Buffered())
		r.r += n
		r.remaining -= n
	}
	return nil
}
