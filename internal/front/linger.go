package front

import (
	"io"
	"net"
	"time"
)

// lingerTimeout limits the wait for the caller to close a connection that this
// side ends.
const lingerTimeout = 500 * time.Millisecond

// linger closes the sending side and reads until the caller closes. Otherwise a
// request that the caller sent just before would make the kernel reset the
// connection, and the caller would lose the message that gives the reason for
// the end.
func linger(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // the connection ends in any case
}
