package pool

import (
	"net"
	"syscall"
)

// isOpen reports whether an idle connection is still open and has nothing to
// read. It looks at the socket without waiting, so that a connection which the
// target closed while it was idle is not given to a request, whose outcome
// would then be unknown. Connections that are no plain sockets count as open.
func isOpen(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errno == syscall.EAGAIN || errno == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
