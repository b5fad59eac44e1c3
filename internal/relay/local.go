package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/pkg/config"
)

// positionQuery and statusQuery are statements of the proxy itself, encoded
// once.
var (
	positionQuery = encodeQuery("SELECT * FROM siskin_commit_position()")
	statusQuery   = encodeQuery("SELECT * FROM siskin_status()")
)

func encodeQuery(sql string) []byte {
	b, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(err) // constant input
	}
	return b
}

// localExecutor runs a transaction on a target connection of this VM.
type localExecutor struct {
	home     *Home
	hdr      Header
	route    *config.Route
	group    siskin.Group
	conn     *pool.Conn
	ctx      lazyContext
	deadline time.Time
	term     siskin.Term // term of the primary that a write was admitted to
	replaced atomic.Bool // the primary of term was replaced
	// withinRate reports whether the customer was within its rate when the
	// limiter rejected the request.
	withinRate bool

	mu           sync.Mutex // a Cancel in progress ends before conn is released
	connReleased bool       // conn was returned to the pool or closed
	endWrite     func()
	releaseQueue func()

	status          byte // transaction status before the batch
	sent            bool // a part of the caller's batch was sent
	relayed         bool // a part of the answer was sent to the caller
	positionQueried bool // a position query was sent after the batch
	copyPossible    bool // a statement of the transaction may start COPY
	refusesWrites   bool // the connection refuses writes permanently
	batchSent       bool // the whole batch was sent before reading its answer
	quiesce         func()

	commands       int    // CommandComplete messages of the transaction
	batchCommands  int    // CommandComplete messages of the batch
	lastRolledBack bool   // the last command tag was ROLLBACK
	confirmed      bool   // the held messages may be sent
	held           []byte // messages held back, see relayMessage
	dataRow        pgproto3.DataRow
	row            []byte

	heldBuf [96]byte // initial storage of held
	rowBuf  [32]byte // initial storage of row
}

// Send implements Executor.
func (l *localExecutor) Send(batch []byte, last bool) error {
	l.startBatch()
	l.batchSent = last
	l.conn.SetStreaming(!last)
	l.copyPossible = l.copyPossible || mayCopy(batch)
	l.conn.CheckOwner(l.hdr.Request)
	if err := l.conn.W.Raw(batch); err != nil {
		return err
	}
	l.sent = true
	if last && l.route.Mode == config.WriteRoute && !l.copyPossible {
		// A query sent after a COPY FROM STDIN would end the copy with an
		// error. If the batch may contain one, the position is queried after
		// the answer.
		l.positionQueried = true
		if err := l.conn.W.Raw(positionQuery); err != nil {
			return err
		}
	}
	return l.conn.W.Flush()
}

func (l *localExecutor) startBatch() {
	l.positionQueried, l.batchSent, l.confirmed, l.batchCommands = false, false, false, 0
	l.held = l.held[:0]
}

// Writer implements Executor. Streamed messages are not searched for COPY.
func (l *localExecutor) Writer() *frame.Writer {
	l.copyPossible, l.sent = true, true
	l.conn.SetStreaming(true)
	return l.conn.W
}

// mayCopy reports whether b may contain the keyword COPY. It has false
// positives but no false negatives, since keywords cannot be escaped.
func mayCopy(b []byte) bool {
	for i := 0; i+4 <= len(b); i++ {
		if b[i]|0x20 == 'c' && b[i+1]|0x20 == 'o' && b[i+2]|0x20 == 'p' && b[i+3]|0x20 == 'y' {
			return true
		}
	}
	return false
}

// Finish implements Executor.
func (l *localExecutor) Finish() {
	l.recycleConn()
	l.releaseAdmission()
}

// useConn starts to use a connection from the pool.
func (l *localExecutor) useConn(conn *pool.Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.connReleased = conn, false
	if l.replaced.Load() {
		return notPrimaryError(&l.hdr)
	}
	return conn.SetDeadline(l.deadline)
}

// abortReplaced aborts a write whose primary was replaced. The write can no
// longer be confirmed, so it does not wait until the deadline.
func (l *localExecutor) abortReplaced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaced.Store(true)
	l.ctx.end()
	if l.conn != nil && !l.connReleased {
		_ = l.conn.SetReadDeadline(longAgo) // fails only when closed already
	}
}

// releaseConn marks the connection as released and returns it, or nil if it was
// released before. It waits for a cancel request in progress, which must not
// reach a later request.
func (l *localExecutor) releaseConn() *pool.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connReleased {
		return nil
	}
	l.connReleased = true
	return l.conn
}

// recycleConn returns the connection to the pool and releases the queue, in the
// background.
func (l *localExecutor) recycleConn() {
	conn := l.releaseConn()
	if conn == nil {
		return
	}
	l.mu.Lock()
	releaseQueue := l.releaseQueue
	l.releaseQueue = nil
	l.mu.Unlock()
	if l.refusesWrites {
		conn.CloseOlder()
		if releaseQueue != nil {
			releaseQueue()
		}
		return
	}
	go runGuarded(conn, func() {
		if releaseQueue != nil {
			defer releaseQueue()
		}
		conn.Recycle(l.hdr.Request)
	})
}

// Abort implements Executor.
func (l *localExecutor) Abort(cause error) {
	if conn := l.releaseConn(); conn != nil {
		conn.Close(cause)
	}
	l.releaseAdmission()
}

// cancelTimeout limits the time to send a cancel request.
const cancelTimeout = time.Second

// Cancel implements Executor.
func (l *localExecutor) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connReleased {
		_ = l.conn.Cancel(cancelTimeout) // a cancel request has no answer
	}
}
