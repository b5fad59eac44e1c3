package connlimit

import (
	"net"
	"net/http"
)

// LimitServer has a server close its oldest connection when it has more than a
// maximum. It replaces the server's ConnState.
func LimitServer(s *http.Server, maximum int) {
	open := NewOldest(maximum)
	s.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(c)
		case http.StateClosed, http.StateHijacked:
			open.Remove(c)
		}
	}
}
