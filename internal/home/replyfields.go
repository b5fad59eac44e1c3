package home

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/fields"
)

// Fields of an encoded Reply. New ones are added at the end.
const (
	replyOutcome fields.IntKey = iota + 1
	replyCause
	replyCode
	replyState
	replyPositionTerm
	replyPositionLSN
	replyTx
	replyConn
	replyExchange
	replyRetryAfter
	replyLeadTerm
	replyLeadLSN
	replyLeadAge
	replyLeadProven
	replyWaited
	replyRan
	replyLoad
	replyTypical
	replySpread
	replySamples
	replyLimit
	replyRowsDropped
	replyMayHaveRun
)

// Texts of an encoded Reply. New ones are added at the end. There is a replyRow
// for each row.
const (
	replyRow fields.TextKey = iota + 1
	replySignature
	replyMessage
	replyHome
)

// AppendBinary implements encoding.BinaryAppender.
func (r *Reply) AppendBinary(b []byte) ([]byte, error) {
	a := &r.Answer
	b = fields.AppendInt(b, replyOutcome, r.Outcome)
	b = fields.AppendInt(b, replyCause, r.Cause)
	for _, row := range a.Rows {
		b = fields.AppendElement(b, replyRow, row)
	}
	b = fields.AppendText(b, replySignature, a.Signature)
	b = fields.AppendInt(b, replyCode, a.Code)
	b = fields.AppendText(b, replyMessage, a.Message)
	b = fields.AppendInt(b, replyState, a.State)
	b = fields.AppendInt(b, replyPositionTerm, a.Position.Term)
	b = fields.AppendInt(b, replyPositionLSN, a.Position.LSN)
	b = fields.AppendInt(b, replyTx, r.Tx)
	b = fields.AppendText(b, replyHome, r.Home)
	b = fields.AppendInt(b, replyConn, r.Conn)
	b = fields.AppendInt(b, replyExchange, r.Exchange)
	b = fields.AppendInt(b, replyRetryAfter, r.RetryAfter)
	b = fields.AppendInt(b, replyLeadTerm, r.Lead.Term)
	b = fields.AppendInt(b, replyLeadLSN, r.Lead.LSN)
	b = fields.AppendInt(b, replyLeadAge, r.LeadAge)
	b = fields.AppendBool(b, replyLeadProven, r.LeadProven)
	b = fields.AppendInt(b, replyWaited, r.Waited)
	b = fields.AppendInt(b, replyRan, r.Ran)
	b = fields.AppendInt(b, replyLoad, r.Load)
	b = fields.AppendInt(b, replyTypical, r.Speed.Typical)
	b = fields.AppendInt(b, replySpread, r.Speed.Spread)
	b = fields.AppendInt(b, replySamples, r.Speed.Samples)
	b = fields.AppendInt(b, replyLimit, r.Speed.Limit)
	b = fields.AppendBool(b, replyRowsDropped, a.RowsDropped)
	return fields.AppendBool(b, replyMayHaveRun, r.MayHaveRun), nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (r *Reply) UnmarshalBinary(b []byte) error {
	*r = Reply{}
	return fields.Decode(b, (*replyDecoder)(r))
}

// replyDecoder implements fields.Body.
type replyDecoder Reply

// SetInt implements fields.Body.
func (r *replyDecoder) SetInt(k fields.IntKey, v int64) {
	switch a := &r.Answer; k {
	case replyOutcome:
		r.Outcome = Outcome(v)
	case replyCause:
		r.Cause = Cause(v)
	case replyCode:
		a.Code = siskin.AnswerCode(v)
	case replyState:
		a.State = siskin.TxState(v)
	case replyPositionTerm:
		a.Position.Term = siskin.Term(v)
	case replyPositionLSN:
		a.Position.LSN = siskin.LSN(v)
	case replyTx:
		r.Tx = TxID(v)
	case replyConn:
		r.Conn = ConnID(v)
	case replyExchange:
		r.Exchange = int(v)
	case replyRetryAfter:
		r.RetryAfter = time.Duration(v)
	case replyLeadTerm:
		r.Lead.Term = siskin.Term(v)
	case replyLeadLSN:
		r.Lead.LSN = siskin.LSN(v)
	case replyLeadAge:
		r.LeadAge = time.Duration(v)
	case replyLeadProven:
		r.LeadProven = v != 0
	case replyWaited:
		r.Waited = time.Duration(v)
	case replyRan:
		r.Ran = time.Duration(v)
	case replyLoad:
		r.Load = int(v)
	case replyTypical:
		r.Speed.Typical = time.Duration(v)
	case replySpread:
		r.Speed.Spread = int(v)
	case replySamples:
		r.Speed.Samples = int(v)
	case replyLimit:
		r.Speed.Limit = int(v)
	case replyRowsDropped:
		a.RowsDropped = v != 0
	case replyMayHaveRun:
		r.MayHaveRun = v != 0
	}
}

// SetText implements fields.Body.
func (r *replyDecoder) SetText(k fields.TextKey, text string) {
	switch a := &r.Answer; k {
	case replyRow:
		a.Rows = append(a.Rows, text)
	case replySignature:
		a.Signature = text
	case replyMessage:
		a.Message = text
	case replyHome:
		r.Home = siskin.VMID(text)
	}
}
