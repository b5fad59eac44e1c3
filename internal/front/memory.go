package front

import "siskintray.example/siskin/internal/frame"

// readBody reads the body of a message as a whole. Its size counts twice, since it is
// copied into the message that is sent.
func (c *session) readBody() ([]byte, error) {
	c.memory.Release() // the message before has been sent
	if customer := c.grant.Customer; c.r.Remaining() > frame.BufferSize {
		c.memory.Move(c.srv.cfg.Memory.Customer(customer))
	}
	body, err := c.r.ChargedBody(c.maxMessage(), func(n int) bool { return c.memory.Take(2 * n) })
	if err != nil {
		c.memory.Release()
	}
	return body, err
}
