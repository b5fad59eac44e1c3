package peer

import (
	"encoding/binary"
	"errors"
	"io"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
)

// errNoMemory is the error of a frame that was read to its end without being kept.
// The frame has its header then.
var errNoMemory = errors.New("no memory for the frame")

// readFrame reads one frame of at most limit bytes and returns it with its encoded
// size, length prefix included. The buffer grows with the bytes that arrive, whatever
// length the prefix states, and is charged to hold above memory.FreeSize.
func readFrame(r io.Reader, limit siskin.Bytes, hold *memory.Hold) (frame, int, error) {
	size, err := readLength(r, limit)
	if err != nil {
		return frame{}, 0, err
	}
	return readBody(r, size, hold)
}

func readLength(r io.Reader, limit siskin.Bytes) (int, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if siskin.Bytes(size) > limit {
		return 0, siskin.NewError(siskin.TooLarge, "a message of %d bytes exceeds the limit of %d", size, limit).WithRemedy("raise MaxMessage or split the message")
	}
	return int(size), nil
}

// readBody reads a frame of the given size behind its length prefix.
func readBody(r io.Reader, size int, hold *memory.Hold) (frame, int, error) {
	b := make([]byte, min(size, memory.FreeSize))
	if _, err := io.ReadFull(r, b); err != nil {
		return frame{}, 0, err
	}
	for len(b) < size {
		n := min(size, 2*len(b))
		next, charged := memory.GetBuffer(n)[:n], 0
		if len(b) > memory.FreeSize {
			charged = cap(b)
		}
		if !hold.Take(cap(next) - charged) {
			memory.PutBuffer(next)
			return skipBody(r, b, size)
		}
		_, err := io.ReadFull(r, next[copy(next, b):])
		memory.PutBuffer(b)
		if b = next; err != nil {
			memory.PutBuffer(b)
			return frame{}, 0, err
		}
	}
	f, err := parseFrame(b)
	return f, size + 4, err
}

// skipBody reads the rest of a frame that begins with b.
func skipBody(r io.Reader, b []byte, size int) (frame, int, error) {
	if _, err := io.CopyN(io.Discard, r, int64(size-len(b))); err != nil {
		return frame{}, 0, err
	}
	f, err := parseFrame(b[:min(len(b), memory.FreeSize)])
	if err != nil {
		return f, 0, err
	}
	f.body = nil
	memory.PutBuffer(b)
	return f, size + 4, errNoMemory
}
