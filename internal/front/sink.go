package front

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/token"
)

// answerState records what was sent to the caller in the current transaction.
type answerState struct {
	answered bool
	status   pgproto3.ParameterStatus
	term     siskin.Term // term of the last token, zero when there was none
}

// Forward implements relay.Sink.
func (c *session) Forward(h frame.Header, r *frame.Reader) error {
	switch h.Type {
	case '1':
		if c.stmts.parseCompleted() {
			return r.Skip()
		}
	case 'S':
		if h.Len < frame.BufferSize {
			return c.forwardParameter(h, r)
		}
	}
	c.answer.answered = true
	return c.w.Copy(h, r)
}

// forwardParameter forwards a ParameterStatus and records the position of a
// token in it.
func (c *session) forwardParameter(h frame.Header, r *frame.Reader) error {
	body, err := r.Body(frame.BufferSize)
	if err != nil {
		return err
	}
	if c.answer.status.Decode(body) == nil && c.answer.status.Name == relay.TokenParameter {
		pos, err := c.srv.cfg.Tokens.Verify(c.service, []byte(c.answer.status.Value))
		if err == nil {
			c.recordPosition(pos)
		}
	}
	return c.SendMessage(h.Type, body)
}

// recordPosition raises the session's floor to a position that the caller
// receives.
func (c *session) recordPosition(pos siskin.Position) {
	c.floor, c.floorKnown = token.Max(c.floor, pos), true
	c.answer.term = pos.Term
}

// SendMessage implements relay.Sink.
func (c *session) SendMessage(typ byte, body []byte) error {
	if typ == '1' && c.stmts.parseCompleted() {
		return nil
	}
	c.answer.answered = true
	if err := c.w.Header(frame.Header{Type: typ, Len: len(body)}); err != nil {
		return err
	}
	return c.w.Raw(body)
}

// SendToken implements relay.Sink.
func (c *session) SendToken(pos siskin.Position) error {
	c.recordPosition(pos)
	c.answer.answered = true
	text := c.srv.cfg.Tokens.Encode(token.Token{Service: c.service, Position: pos})
	return c.w.Message(&pgproto3.ParameterStatus{Name: relay.TokenParameter, Value: text})
}

// Flush implements relay.Sink.
func (c *session) Flush() error { return c.w.Flush() }

// Err implements relay.Sink.
func (c *session) Err() error { return c.w.Err() }
