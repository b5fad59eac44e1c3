package pool

import (
	"net"
	"syscall"
)

// socket checks the state of a connection without blocking.
type socket struct {
	raw  syscall.RawConn
	peek func(fd uintptr) bool // stored, to avoid allocating a closure per call
	open bool
	b    [1]byte
}

// newSocket returns nil if conn is not a plain socket.
func newSocket(conn net.Conn) *socket {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	s := &socket{raw: raw}
	s.peek = func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), s.b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		s.open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	}
	return s
}

// isOpen reports whether an idle connection is open and has no data to read. A
// connection that the target closed while it was idle must not be leased to a
// request, whose outcome would then be unknown.
func (s *socket) isOpen() bool {
	if s == nil {
		return true
	}
	s.open = false
	return s.raw.Read(s.peek) == nil && s.open
}
