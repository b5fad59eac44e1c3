package peer

import (
	"errors"
	"net/rpc"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
)

// serverCodec implements rpc.ServerCodec for one request.
type serverCodec struct {
	s       *Server
	w       *writer
	peer    siskin.VMID
	request frame
	size    int
	memory  memory.Hold // of the request
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	r.ServiceMethod, r.Seq = c.request.method, c.request.seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec. A nil body means that the method
// does not exist; it is not counted, so that the number of names is bounded.
func (c *serverCodec) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	c.s.counters.received(c.request.method, c.size)
	if n := decodedSize(c.request.body); n > memory.KeptAnswer && !c.memory.Take(n) {
		c.s.refused.Add(1)
		return errors.New(refusedMemory)
	}
	return decodeBody(c.request.body, body)
}

// WriteResponse implements rpc.ServerCodec. The response has the encoding of the
// request, which its sender understands.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		c.reply(errorFrame, []byte(r.Error))
		return nil
	}
	b, err := encodeBody(body, isBinary(c.request.body))
	if err != nil {
		c.reply(errorFrame, []byte("cannot encode the answer: "+err.Error()))
		return nil
	}
	c.reply(responseFrame, b)
	return nil
}

// reply queues a response frame. Send errors are ignored: the connection is
// then closed or unresponsive, which the peer detects itself.
func (c *serverCodec) reply(kind frameKind, body []byte) {
	b := frame{kind, c.request.seq, c.request.method, body}.encode()
	if siskin.Bytes(len(b)) > c.s.cfg.MaxMessage {
		b = frame{errorFrame, c.request.seq, c.request.method, []byte("the answer exceeds the message size limit")}.encode()
	}
	if kind == responseFrame {
		c.s.counters.sent(c.request.method, len(b))
	}
	if !c.s.cfg.dropped(c.s.cfg.Self, c.peer) {
		_ = c.w.send(b)
	}
}

// refuse answers a request that is not run.
func (c *serverCodec) refuse(text string) {
	c.s.refused.Add(1)
	c.memory.Release()
	c.reply(errorFrame, []byte(text))
}

// Close implements rpc.ServerCodec. The connection stays open after the request.
func (c *serverCodec) Close() error { return nil }
