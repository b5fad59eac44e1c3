package relay

import (
	"encoding/binary"
	"time"

	"siskintray.example/siskin"
)

// Types of the messages between VMs that the PostgreSQL protocol does not have.
const (
	headerType  = 'h'
	failureType = 'u'
)

// maxHeaderSize bounds a header or failure message.
const maxHeaderSize = 8 << 10

// Header names one transaction and what it needs.
type Header struct {
	Service  siskin.ServiceName
	Route    siskin.RouteName
	Customer siskin.CustomerID
	Key      siskin.KeyID // empty when the caller showed no key
	Target   siskin.TargetID
	Slot     siskin.Slot
	// Floor is the position that a read must have reached; with Sample the home
	// samples it.
	Floor       siskin.Position
	SampleFloor bool
	// Admitted says that the limiter admitted the request in an earlier attempt
	// that did not run.
	Admitted bool
	// Request identifies the request at the entry VM.
	Request uint64
	// Remaining is the time to the deadline. It travels as a duration, since
	// the clocks of two VMs may differ.
	Remaining time.Duration
}

// Encode appends the header as a message.
func (h *Header) Encode(dst []byte) ([]byte, error) {
	dst = append(dst, headerType, 0, 0, 0, 0)
	start := len(dst) - 4
	for _, s := range [...]string{string(h.Service), string(h.Route), string(h.Customer), string(h.Key), string(h.Target)} {
		dst = appendString(dst, s)
	}
	dst = binary.AppendUvarint(dst, uint64(h.Slot))
	dst = binary.AppendUvarint(dst, uint64(h.Floor.Term))
	dst = binary.AppendUvarint(dst, uint64(h.Floor.LSN))
	dst = binary.AppendUvarint(dst, h.Request)
	dst = binary.AppendUvarint(dst, uint64(max(h.Remaining, 0)))
	dst = appendBools(dst, h.SampleFloor, h.Admitted)
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start))
	return dst, nil
}

// Decode sets the header from the body of a message.
func (h *Header) Decode(body []byte) error {
	d := decoder{b: body}
	h.Service = siskin.ServiceName(d.string())
	h.Route = siskin.RouteName(d.string())
	h.Customer = siskin.CustomerID(d.string())
	h.Key = siskin.KeyID(d.string())
	h.Target = siskin.TargetID(d.string())
	h.Slot = siskin.Slot(d.uint() & 0xffff)
	h.Floor = siskin.Position{Term: siskin.Term(d.uint()), LSN: siskin.LSN(d.uint())}
	h.Request = d.uint()
	h.Remaining = d.duration()
	h.SampleFloor, h.Admitted = d.bools()
	return d.finish("header")
}
