package home

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/fields"
)

// Fields of an encoded Request. New ones are added at the end.
const (
	requestKind fields.IntKey = iota + 1
	requestWrites
	requestStatementFloorTerm
	requestStatementFloorLSN
	requestTerm
	requestPreparedWrites
	requestProof
	requestFloorTerm
	requestFloorLSN
	requestFloorTTL
	requestMode
	requestTx
	requestUnreachable
	requestTimeout
	requestQueueTimeout
	requestAcquireTimeout
	requestTxIdleTimeout
	requestClass
)

// Texts of an encoded Request. New ones are added at the end. A value of the
// session is a requestValueName and a requestValueText.
const (
	requestID fields.TextKey = iota + 1
	requestName
	requestText
	requestService
	requestTarget
	requestHome
	requestCustomer
	requestValueName
	requestValueText
	requestShape
)

// AppendBinary implements encoding.BinaryAppender.
func (r *Request) AppendBinary(b []byte) ([]byte, error) {
	s := &r.Statement
	b = fields.AppendInt(b, requestKind, s.Kind)
	b = fields.AppendText(b, requestID, s.ID)
	b = fields.AppendText(b, requestName, s.Name)
	b = fields.AppendText(b, requestText, s.Text)
	b = fields.AppendBool(b, requestWrites, s.Writes)
	b = fields.AppendInt(b, requestStatementFloorTerm, s.Floor.Term)
	b = fields.AppendInt(b, requestStatementFloorLSN, s.Floor.LSN)
	b = fields.AppendInt(b, requestTerm, s.Term)
	b = fields.AppendText(b, requestService, r.Service)
	b = fields.AppendText(b, requestTarget, r.Target)
	b = fields.AppendText(b, requestHome, r.Home)
	b = fields.AppendText(b, requestCustomer, r.Customer)
	for i := range r.Values {
		b = fields.AppendElement(b, requestValueName, r.Values[i].Name)
		b = fields.AppendText(b, requestValueText, r.Values[i].Text)
	}
	b = fields.AppendText(b, requestShape, r.Prepared.Shape)
	b = fields.AppendBool(b, requestPreparedWrites, r.Prepared.Writes)
	b = fields.AppendInt(b, requestProof, r.Proof)
	b = fields.AppendInt(b, requestFloorTerm, r.Floor.Term)
	b = fields.AppendInt(b, requestFloorLSN, r.Floor.LSN)
	b = fields.AppendInt(b, requestFloorTTL, r.FloorTTL)
	b = fields.AppendInt(b, requestMode, r.Mode)
	b = fields.AppendInt(b, requestTx, r.Tx)
	b = fields.AppendBool(b, requestUnreachable, r.Unreachable)
	b = fields.AppendInt(b, requestTimeout, r.Timeout)
	b = fields.AppendInt(b, requestQueueTimeout, r.QueueTimeout)
	b = fields.AppendInt(b, requestAcquireTimeout, r.AcquireTimeout)
	b = fields.AppendInt(b, requestTxIdleTimeout, r.TxIdleTimeout)
	return fields.AppendInt(b, requestClass, r.Class), nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (r *Request) UnmarshalBinary(b []byte) error {
	*r = Request{}
	if err := fields.Decode(b, (*requestDecoder)(r)); err != nil {
		return err
	}
	if len(r.Values) > maxValues {
		return siskin.NewError(siskin.BadInput, "a request has more than %d values", maxValues).WithRemedy("run the same version on all VMs")
	}
	return nil
}

// maxValues is the number of values of a request, more than any session has. A
// frame of an untrusted peer could otherwise take many times its size when it is decoded.
const maxValues = 1024

// requestDecoder implements fields.Body.
type requestDecoder Request

// SetInt implements fields.Body.
func (r *requestDecoder) SetInt(k fields.IntKey, v int64) {
	switch s := &r.Statement; k {
	case requestKind:
		s.Kind = siskin.StatementKind(v)
	case requestWrites:
		s.Writes = v != 0
	case requestStatementFloorTerm:
		s.Floor.Term = siskin.Term(v)
	case requestStatementFloorLSN:
		s.Floor.LSN = siskin.LSN(v)
	case requestTerm:
		s.Term = siskin.Term(v)
	case requestPreparedWrites:
		r.Prepared.Writes = v != 0
	case requestProof:
		r.Proof = Proof(v)
	case requestFloorTerm:
		r.Floor.Term = siskin.Term(v)
	case requestFloorLSN:
		r.Floor.LSN = siskin.LSN(v)
	case requestFloorTTL:
		r.FloorTTL = time.Duration(v)
	case requestMode:
		r.Mode = TxMode(v)
	case requestTx:
		r.Tx = TxID(v)
	case requestUnreachable:
		r.Unreachable = v != 0
	case requestTimeout:
		r.Timeout = time.Duration(v)
	case requestQueueTimeout:
		r.QueueTimeout = time.Duration(v)
	case requestAcquireTimeout:
		r.AcquireTimeout = time.Duration(v)
	case requestTxIdleTimeout:
		r.TxIdleTimeout = time.Duration(v)
	case requestClass:
		r.Class = siskin.PriorityClass(v)
	}
}

// SetText implements fields.Body.
func (r *requestDecoder) SetText(k fields.TextKey, text string) {
	switch s := &r.Statement; k {
	case requestID:
		s.ID = siskin.RequestID(text)
	case requestName:
		s.Name = text
	case requestText:
		s.Text = text
	case requestService:
		r.Service = siskin.ServiceName(text)
	case requestTarget:
		r.Target = siskin.TargetID(text)
	case requestHome:
		r.Home = siskin.VMID(text)
	case requestCustomer:
		r.Customer = siskin.CustomerID(text)
	case requestValueName:
		if len(r.Values) <= maxValues {
			r.Values = append(r.Values, Value{Name: text})
		}
	case requestValueText:
		if n := len(r.Values); n > 0 {
			r.Values[n-1].Text = text
		}
	case requestShape:
		r.Prepared.Shape = text
	}
}
