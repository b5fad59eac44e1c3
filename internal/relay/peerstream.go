package relay

import (
	"siskintray.example/siskin/internal/frame"
)

// Peek implements Source.
func (c *peerConn) Peek() (frame.Header, error) { return c.r.Peek() }

// Buffered implements Source.
func (c *peerConn) Buffered() int { return c.r.Buffered() }

// Append implements Source.
func (c *peerConn) Append(h frame.Header, b *frame.Batch) (bool, error) {
	c.lastType = h.Type
	return AppendRaw(c.r, h, b)
}

// AppendRaw consumes the next message of r unchanged and appends it to b. It
// reports false, and consumes nothing, if the message does not fit.
func AppendRaw(r *frame.Reader, h frame.Header, b *frame.Batch) (bool, error) {
	if !b.Fits(frame.HeaderSize + h.Len) {
		return false, nil
	}
	if _, err := r.Next(); err != nil {
		return false, err
	}
	body, err := r.Body(frame.BufferSize)
	if err != nil {
		return false, err
	}
	head := h.Bytes()
	return b.Append(head[:], body), nil
}

// Send implements Source.
func (c *peerConn) Send(_ frame.Header, w *frame.Writer) error {
	h, err := c.r.Next()
	if err != nil {
		return err
	}
	c.lastType = h.Type
	return w.Copy(h, c.r)
}

// SendRest implements Source.
func (c *peerConn) SendRest(w *frame.Writer) error { return c.r.CopyBody(w) }

// Interrupt implements Source.
func (c *peerConn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetReadDeadline(longAgo) // fails only when closed already
}

// Resume implements Source.
func (c *peerConn) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetReadDeadline(c.deadline) // fails only when closed already
}

// Forward implements Sink.
func (c *peerConn) Forward(h frame.Header, r *frame.Reader) error { return c.w.Copy(h, r) }

// SendMessage implements Sink.
func (c *peerConn) SendMessage(typ byte, body []byte) error {
	if err := c.w.Header(frame.Header{Type: typ, Len: len(body)}); err != nil {
		return err
	}
	return c.w.Raw(body)
}

// Flush implements Sink.
func (c *peerConn) Flush() error { return c.w.Flush() }

// Err implements Sink.
func (c *peerConn) Err() error { return c.w.Err() }
