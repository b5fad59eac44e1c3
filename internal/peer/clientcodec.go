package peer

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/rpc"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
)

// clientCodec implements rpc.ClientCodec over frames. rpc.Client serializes
// reads and, separately, writes.
type clientCodec struct {
	cfg       *Config
	counters  *counters
	to        siskin.VMID
	binary    bool // whether the peer understands binary bodies
	r         *bufio.Reader
	w         *writer
	keepalive *keepalive
	requests  *outstanding
	response  frame
	memory    memory.Hold // of the response that is being read
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	b, err := encodeBody(body, c.binary)
	if err != nil {
		return siskin.NewError(siskin.BadInput, "cannot encode the arguments of %s", r.ServiceMethod).WithCause(fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	f := frame{requestFrame, r.Seq, r.ServiceMethod, b}.encode()
	if siskin.Bytes(len(f)) > c.cfg.MaxMessage {
		return siskin.NewError(siskin.TooLarge, "a message of %d bytes exceeds the limit of %d", len(f), c.cfg.MaxMessage).
			WithCause(ErrNotSent).WithRemedy("split the message")
	}
	c.counters.sent(r.ServiceMethod, len(f))
	if c.cfg.dropped(c.cfg.Self, c.to) {
		c.keepalive.sent()
		return nil
	}
	// The response may arrive before send returns.
	c.requests.add(r.Seq, r.ServiceMethod)
	if err := c.w.sendRequest(f); err != nil {
		c.requests.remove(r.Seq, r.ServiceMethod)
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.keepalive.sent()
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec. rpc.Client matches responses by
// their sequence number alone and ignores those without a request, so a response
// that does not fit a request closes the connection here.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	f, size, err := readFrame(c.r, c.cfg.MaxMessage, &c.memory)
	c.memory.Release() // the caller that waits for the response charges its part
	dropped := errors.Is(err, errNoMemory)
	if dropped {
		err = nil
	}
	if err == nil && f.kind != responseFrame && f.kind != errorFrame {
		err = errMalformedFrame
	}
	if err == nil && !c.requests.remove(f.seq, f.method) {
		err = errUnexpectedResponse
	}
	if err != nil {
		// After a read error net/rpc leaves the codec open, and every later call
		// on the connection would fail.
		c.w.close()
		if c.cfg.Disconnected != nil && !errors.Is(err, net.ErrClosed) {
			c.cfg.Disconnected(c.to)
		}
		return err
	}
	c.keepalive.received()
	c.counters.received(f.method, size)
	c.response = f
	r.ServiceMethod, r.Seq = f.method, f.seq
	switch {
	case dropped:
		r.Error = droppedResponse
	case f.kind == errorFrame:
		r.Error = string(f.body)
	}
	return nil
}

// ReadResponseBody implements rpc.ClientCodec. The caller decodes the body,
// since it may have cancelled the call in the meantime.
func (c *clientCodec) ReadResponseBody(body any) error {
	if raw, ok := body.(*json.RawMessage); ok {
		*raw = c.response.body
	}
	return nil
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.w.close()
	return nil
}
