package front

import (
	"bytes"
	"encoding/binary"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/relay"
)

// Peek implements relay.Source.
func (c *session) Peek() (frame.Header, error) {
	if len(c.rewritten) > 0 {
		return c.rewrittenHead, nil
	}
	h, err := c.r.Peek()
	if err == nil && h.Len > c.maxMessage() {
		return h, c.tooLarge(h)
	}
	return h, err
}

func (c *session) maxMessage() int { return int(c.srv.Limits().MaxMessage) }

// tooLarge returns the error for the next message. The message's head is
// consumed, so that its body is skipped and a refused Query still ends its
// batch.
func (c *session) tooLarge(h frame.Header) error {
	if _, err := c.r.Next(); err != nil {
		return err
	}
	c.consumed(h.Type)
	return siskin.NewError(siskin.TooLarge, "message of %d bytes is above the limit of %d", h.Len, c.maxMessage()).
		WithRemedy("send the data in smaller statements or with COPY")
}

// Buffered implements relay.Source.
func (c *session) Buffered() int { return c.r.Buffered() + len(c.rewritten) }

// Append implements relay.Source.
func (c *session) Append(h frame.Header, b *frame.Batch) (bool, error) {
	if !c.refersToStatement(h) {
		ok, err := relay.AppendRaw(c.r, h, b)
		if ok {
			c.consumed(h.Type)
		}
		return ok, err
	}
	if err := c.rewrite(h); err != nil {
		return false, err
	}
	if !b.Append(c.rewritten) {
		return false, nil
	}
	c.consumed(h.Type)
	return true, nil
}

// Send implements relay.Source.
func (c *session) Send(h frame.Header, w *frame.Writer) error {
	if !c.refersToStatement(h) {
		c.consumed(h.Type)
		if _, err := c.r.Next(); err != nil {
			return err
		}
		return w.Copy(h, c.r)
	}
	if err := c.rewrite(h); err != nil {
		return err
	}
	err := w.Raw(c.rewritten)
	c.consumed(h.Type)
	return err
}

// SendRest implements relay.Source.
func (c *session) SendRest(w *frame.Writer) error { return c.r.CopyBody(w) }

func (c *session) consumed(typ byte) {
	c.last = typ
	c.rewritten = c.rewritten[:0]
	c.memory.Release()
	if cap(c.rewritten) > frame.BufferSize {
		c.rewritten = nil
	}
	if typ == 'Q' {
		c.stmts.simpleQuery()
	}
}

func (c *session) refersToStatement(h frame.Header) bool {
	return h.Type == 'P' || h.Type == 'B' || h.Type == 'D' || h.Type == 'C'
}

// rewrite reads the next message and stores its replacement in rewritten: the
// same message for the unnamed statement, preceded by a Parse when the target's
// unnamed statement is another one. It does nothing when rewritten is filled
// already.
func (c *session) rewrite(h frame.Header) error {
	if len(c.rewritten) > 0 {
		return nil
	}
	if _, err := c.r.Next(); err != nil {
		return err
	}
	c.last = h.Type // set even if it is refused: discardBatch starts here
	body, err := c.readBody()
	if err != nil {
		return err
	}
	c.rewrittenHead = h
	switch h.Type {
	case 'P':
		return c.rewriteParse(body)
	case 'B':
		return c.rewriteBind(body)
	default:
		return c.rewriteDescribeOrClose(h.Type, body)
	}
}

func malformed(typ byte) error {
	return siskin.NewError(siskin.BadInput, "message %q is malformed", typ).
		WithRemedy("check that the client speaks the PostgreSQL protocol 3.0")
}

func (c *session) rewriteParse(body []byte) error {
	name, text, ok := bytes.Cut(body, []byte{0})
	if !ok {
		return malformed('P')
	}
	if err := c.stmts.parse(string(name), text); err != nil {
		return err
	}
	c.rewritten = appendMessage(c.rewritten, 'P', []byte{0}, text)
	return nil
}

func (c *session) rewriteBind(body []byte) error {
	portal, rest, ok1 := bytes.Cut(body, []byte{0})
	name, rest, ok2 := bytes.Cut(rest, []byte{0})
	if !ok1 || !ok2 {
		return malformed('B')
	}
	if !c.injectParse(name) {
		c.rewritten = appendMessage(c.rewritten, 'B', body)
		return nil
	}
	c.rewritten = appendMessage(c.rewritten, 'B', portal, []byte{0, 0}, rest)
	return nil
}

// rewriteDescribeOrClose rewrites a Describe or Close message.
func (c *session) rewriteDescribeOrClose(typ byte, body []byte) error {
	if len(body) < 2 || body[len(body)-1] != 0 {
		return malformed(typ)
	}
	if body[0] != 'S' {
		c.rewritten = appendMessage(c.rewritten, typ, body)
		return nil
	}
	name := body[1 : len(body)-1]
	if typ == 'C' {
		c.stmts.close(string(name))
	} else if !c.injectParse(name) {
		c.rewritten = appendMessage(c.rewritten, typ, body)
		return nil
	}
	c.rewritten = appendMessage(c.rewritten, typ, []byte{'S', 0})
	return nil
}

// injectParse adds a Parse of the named statement when the target needs one. It
// returns false for an unknown name, which the target then refuses.
func (c *session) injectParse(name []byte) bool {
	text, ok := c.stmts.use(string(name))
	if len(text) > 0 {
		c.rewritten = appendMessage(c.rewritten, 'P', []byte{0}, text)
	}
	return ok
}

// appendMessage appends a message whose body is the concatenation of parts.
func appendMessage(dst []byte, typ byte, parts ...[]byte) []byte {
	dst = append(dst, typ, 0, 0, 0, 0)
	start := len(dst) - 4
	for _, p := range parts {
		dst = append(dst, p...)
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start))
	return dst
}
