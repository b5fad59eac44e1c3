package home

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
)

// charge reserves the message in which a statement is sent to its target, and
// reports whether there is room. It comes before the statement waits, so that one
// that was sent is never refused for lack of memory.
func (h *Homes) charge(req *Request, hold *memory.Hold) bool {
	hold.Move(h.cfg.Memory.Customer(req.Customer))
	n := len(req.Statement.Text)
	return n <= memory.FreeSize || hold.Take(n)
}

// refuse returns the reply to a request that is not sent, and ends its transaction.
func (h *Homes) refuse(req *Request, cause Cause) Reply {
	if t, ok := h.txs.Get(req.Tx); req.Mode == Continue && ok && t.acquire() {
		h.abandon(req.Tx, t)
	}
	return Reply{Cause: cause}
}

// replaceDropped replaces an answer whose rows were dropped for lack of memory. The
// target has run the statement, so only one without effect counts as not applied.
func replaceDropped(req *Request, reply *Reply) {
	a := &reply.Answer
	if reply.Outcome != Answered || !a.RowsDropped || a.Code != siskin.Succeeded {
		return
	}
	a.Rows, a.Signature = nil, ""
	if a.Code, a.Message = siskin.Busy, "the rows do not fit into the memory of the VM; nothing was changed, retry later"; req.Statement.MayWrite() || req.Statement.Kind == siskin.Commit {
		a.Code, a.Message = siskin.InDoubt, "the rows do not fit into the memory of the VM; check whether the statement took effect"
	}
}

// LostAnswer returns the reply for a request whose answer has reached this VM and was
// dropped for lack of memory.
func LostAnswer(req *Request, home siskin.VMID) Reply {
	if req.Mode != Single {
		return Reply{Outcome: AnswerLost, Cause: Overload, Home: home}
	}
	reply := Reply{Outcome: Answered, Home: home, Answer: siskin.Answer{RowsDropped: true}}
	replaceDropped(req, &reply)
	return reply
}
