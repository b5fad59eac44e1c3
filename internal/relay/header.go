package relay

import (
	"encoding/binary"
	"time"

	"siskintray.example/siskin"
)

// Types of the messages between VMs that are not part of the PostgreSQL
// protocol.
const (
	headerType  = 'h'
	failureType = 'u'
)

// maxHeaderSize bounds a header or failure message.
const maxHeaderSize = 8 << 10

// Header describes a transaction and its requirements.
type Header struct {
	Service  siskin.ServiceName
	Route    siskin.RouteName
	Customer siskin.CustomerID
	Key      siskin.KeyID // empty if the caller presented no key
	Target   siskin.TargetID
	Slot     siskin.Slot
	// Floor is the position that the target of a read must have reached. If
	// SampleFloor is set, the home samples it.
	Floor       siskin.Position
	SampleFloor bool
	// Admitted reports whether the limiter admitted the request in an earlier
	// attempt that did not run.
	Admitted bool
	// Request identifies the request at the entry VM.
	Request uint64
	// Remaining is the time until the deadline. It is sent as a duration, since
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

// Decode parses the body of a message into the header.
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
