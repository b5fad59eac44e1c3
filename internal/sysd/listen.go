package sysd

import (
	"errors"
	"net"
	"net/http"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/explain"
	"siskintray.example/siskin/platform"
)

// listen opens the listeners and serves them.
func (n *node) listen() error {
	for name, receiver := range map[string]any{
		"Crew": n.crew.Receiver(), "Home": n.path.Receiver(), "Quota": n.rates.Receiver(), "Elect": n.elect.Receiver(),
	} {
		if err := n.peerServer.Register(name, receiver); err != nil {
			return err
		}
	}
	n.peerServer.Serve()
	n.crew.Start(n.rates)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", n.stats)
	metrics.HandleFunc("GET "+explain.Path, n.explain)
	if err := errors.Join(
		n.serveHTTP(n.cfg.Ready.Address, platform.Readiness(n.ready)),
		n.serveHTTP(n.cfg.Metrics.Address, metrics),
	); err != nil {
		return err
	}
	l, err := net.Listen("tcp", n.cfg.Caller.Address)
	if err != nil {
		return siskin.NewError(siskin.BadInput, "cannot listen on %s", n.cfg.Caller.Address).WithCause(err).WithRemedy("set Caller.Address to a free address of this VM")
	}
	n.callers = l
	n.done.Go(n.accept)
	n.done.Go(n.maintain)
	return nil
}

func (n *node) serveHTTP(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return siskin.NewError(siskin.BadInput, "cannot listen on %s", address).WithCause(err).WithRemedy("set the address to a free one of this VM")
	}
	s := newProbeServer(h)
	n.servers = append(n.servers, s)
	n.done.Go(func() { _ = s.Serve(l) }) // ends with the server's Close
	return nil
}

// accept serves callers until the listener is closed.
func (n *node) accept() {
	limit := n.maxSessions()
	for {
		conn, err := n.callers.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			n.log.Warn().Err(err).Msg("cannot accept a caller")
			time.Sleep(acceptBackoff)
			continue
		case n.entry.Sessions() >= limit:
			n.log.Warn().Int("Sessions", limit).Msg("refused a caller: too many sessions")
			_ = conn.Close() // nothing was read from it
			continue
		}
		n.unstarted.Add(conn)
		n.entry.Serve(platform.NewCaller(conn, platform.WithMemory(n.memory), platform.WithWriteTimeout(n.cfg.Caller.AnswerTimeout),
			platform.WithStarted(func() { n.unstarted.Remove(conn) })))
	}
}

// acceptBackoff is the pause after a failed accept, which avoids a busy loop
// while there are no free file descriptors.
const acceptBackoff = 20 * time.Millisecond

// ready reports whether this VM can serve callers. A VM stays ready while it
// cannot reach the store, but not while it is isolated.
func (n *node) ready() bool {
	return !n.stopping.Load() && !n.isolated.Load() && n.table.Snapshot().Version > 0 && n.roster.Ready()
}
