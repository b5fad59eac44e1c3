package front

import (
	"io"
	"net"
	"time"
)

// lingerTimeout is how long a connection that this side ends waits for the other
// side to close.
const lingerTimeout = 500 * time.Millisecond

// linger ends the sending side and reads until the caller closes. A request
// that the caller sent just before would otherwise make the system reset the
// connection, and the caller would lose the message that says why it ended.
func linger(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // the connection ends in any case
}
