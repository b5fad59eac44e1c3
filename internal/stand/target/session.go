package target

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
)

// session is one client connection.
type session struct {
	srv     *Server
	conn    net.Conn
	backend *pgproto3.Backend
	id      uint32
	secret  []byte
	slot    int // -1 for a control connection
	full    bool
	silent  atomic.Bool
	// demoted says that the target became a replica while the connection was
	// open. What it wrote may have been discarded, so it takes no writes and
	// reads no commit position for the rest of its life.
	demoted atomic.Bool

	ctx       context.Context // ends with the connection
	cancel    context.CancelFunc
	statement atomic.Pointer[context.CancelFunc] // cancels the statement in progress
	// active is the state active of pg_stat_activity: from the first message
	// of a batch until its ReadyForQuery is sent.
	active atomic.Bool

	settings   map[string]string
	defaults   map[string]string // settings of the start-up message
	statements map[string]*statement
	portals    map[string]*portal
	tx         *tx
	// skip says that messages are discarded up to the next Sync, after an
	// error in the extended protocol.
	skip bool
	// lose is set by a statement whose answer is to be lost.
	lose   bool
	queued int // rows queued so far
}

// serveClient serves one client connection.
func (s *Server) serveClient(conn net.Conn) {
	if s.Faults().RefuseClients {
		return
	}
	if s.cfg.RecordReceived {
		conn = recorder{conn, &s.stats}
	}
	c := &session{
		srv: s, conn: conn, backend: pgproto3.NewBackend(conn, conn), id: s.lastID.Add(1), slot: -1,
		settings: make(map[string]string), statements: make(map[string]*statement), portals: make(map[string]*portal),
	}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	s.mu.Lock()
	s.sessions[c.id] = c
	s.mu.Unlock()
	defer func() {
		c.close()
		c.endTx()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.sessions, c.id)
	}()
	if s.ctx.Err() != nil {
		return
	}
	if c.startUp() {
		defer s.stats.leave(c.slot)
		c.loop()
	}
}

func (c *session) close() {
	c.cancel()
	c.conn.Close()
}

// gate waits while faults stop this connection.
func (c *session) gate() error {
	if c.silent.Load() {
		<-c.ctx.Done()
	}
	return c.srv.fault.waitWhile(c.ctx, func(f Faults) bool { return f.Silent || f.Paused })
}

// flush sends the messages queued, after the configured delay. When the answer
// is to be lost, it ends the connection instead.
func (c *session) flush() error {
	if c.lose {
		c.close()
		return net.ErrClosed
	}
	if !c.srv.sleep(c.ctx, c.srv.Faults().AnswerDelay.Std()) {
		return c.ctx.Err()
	}
	if err := c.gate(); err != nil {
		return err
	}
	return c.backend.Flush()
}

// loop serves messages until the connection ends.
func (c *session) loop() {
	for {
		msg, err := c.backend.Receive()
		if err != nil || c.gate() != nil {
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if c.handle(msg) != nil {
			return
		}
	}
}

func (c *session) handle(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		c.active.Store(true)
		delete(c.statements, "") // a simple query destroys the unnamed statement
		c.simpleQuery(msg.String)
		return c.ready()
	case *pgproto3.Sync:
		c.skip = false
		if err := c.endImplicit(); err != nil {
			c.fail(err)
		}
		return c.ready()
	case *pgproto3.Flush:
		return c.flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // rest of a copy that has failed
	}
	if c.skip {
		return nil
	}
	c.active.Store(true)
	if err := c.extended(msg); err != nil {
		c.fail(err)
		c.skip = true
	}
	return nil
}

// fail reports an error and aborts the transaction.
func (c *session) fail(err error) {
	c.backend.Send(toSQLError(err).response("ERROR"))
	c.abort()
}

func (c *session) ready() error {
	c.active.Store(false)
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status()})
	return c.flush()
}
