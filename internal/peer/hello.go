package peer

import (
	"bufio"
	"net"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
)

// helloVersion is the sequence number of the Hello frame. Versions of the
// program that send 0 understand only JSON bodies, and ignore the number.
const helloVersion = 1

// maxHelloSize bounds the first frame, whose sender is not yet identified.
const maxHelloSize siskin.Bytes = 512

// hello is what the Hello frame of a peer tells.
type hello struct {
	vm siskin.VMID
	// binary reports whether the peer understands binary bodies.
	binary bool
}

func exchangeHello(conn net.Conn, r *bufio.Reader, self siskin.VMID) (hello, error) {
	if _, err := conn.Write(frame{kind: helloFrame, seq: helloVersion, body: []byte(self)}.encode()); err != nil {
		return hello{}, err
	}
	f, _, err := readFrame(r, maxHelloSize, new(memory.Hold))
	if err != nil {
		return hello{}, err
	}
	if f.kind != helloFrame {
		return hello{}, errMalformedFrame
	}
	return hello{vm: siskin.VMID(f.body), binary: f.seq >= helloVersion}, nil
}
