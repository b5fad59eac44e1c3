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

// positionQuery and statusQuery are the proxy's own statements, encoded once.
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

// localExecutor runs a transaction at a target connection of this VM.
type localExecutor struct {
	home     *Home
	hdr      Header
	route    *config.Route
	group    siskin.Group
	conn     *pool.Conn
	ctx      lazyContext
	deadline time.Time
	term     siskin.Term // term of the primary that a write was admitted to
	replaced atomic.Bool // that primary was replaced
	// withinRate says that the limiter refused and the customer was within its
	// rate.
	withinRate bool

	mu           sync.Mutex // orders Cancel before the return of the connection
	connReleased bool       // conn was returned or closed
	endWrite     func()
	releaseQueue func()

	status          byte // transaction status before the batch
	sent            bool // something of the caller was sent
	relayed         bool // something of the answer was passed on
	positionQueried bool // a position query follows the batch
	copyPossible    bool // a statement may start COPY
	refusesWrites   bool // the connection refuses writes for good
	batchSent       bool // the whole batch was sent before its answer is read
	quiesce         func()

	commands       int    // CommandComplete messages of the transaction
	batchCommands  int    // CommandComplete messages of the batch
	lastRolledBack bool   // the last tag was ROLLBACK
	confirmed      bool   // what is held may be sent
	held           []byte // messages held back from the last CommandComplete on
	dataRow        pgproto3.DataRow
	row            []byte

	heldBuf [96]byte // first storage of held
	rowBuf  [32]byte // first storage of row
}

// Send implements Leg.
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
		// A query behind a COPY FROM STDIN would end the copy with an error, so
		// the position is asked for afterwards when the batch may contain one.
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

// Writer implements Leg. What is streamed is not searched for COPY.
func (l *localExecutor) Writer() *frame.Writer {
	l.copyPossible, l.sent = true, true
	l.conn.SetStreaming(true)
	return l.conn.W
}

// mayCopy reports whether the word COPY may be in b. It has false positives
// but no false negatives, since keywords cannot be written in another way.
func mayCopy(b []byte) bool {
	for i := 0; i+4 <= len(b); i++ {
		if b[i]|0x20 == 'c' && b[i+1]|0x20 == 'o' && b[i+2]|0x20 == 'p' && b[i+3]|0x20 == 'y' {
			return true
		}
	}
	return false
}

// Finish implements Leg.
func (l *localExecutor) Finish() {
	l.recycleConn()
	l.releaseAdmission()
}

// useConn starts the use of a connection.
func (l *localExecutor) useConn(conn *pool.Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.connReleased = conn, false
	if l.replaced.Load() {
		return notPrimaryError(&l.hdr)
	}
	return conn.SetDeadline(l.deadline)
}

// abortReplaced ends a write whose primary was replaced: it cannot be confirmed
// anymore, so that waiting until the deadline serves nobody.
func (l *localExecutor) abortReplaced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaced.Store(true)
	l.ctx.end()
	if l.conn != nil && !l.connReleased {
		_ = l.conn.SetReadDeadline(longAgo) // fails only when closed already
	}
}

// releaseConn ends the use of the connection and returns it. It waits for a cancel
// request in progress, which must not reach a later request.
func (l *localExecutor) releaseConn() *pool.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connReleased {
		return nil
	}
	l.connReleased = true
	return l.conn
}

// recycleConn returns the connection and the place in the queue while the caller
// goes on.
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

// Abort implements Leg.
func (l *localExecutor) Abort(cause error) {
	if conn := l.releaseConn(); conn != nil {
		conn.Close(cause)
	}
	l.releaseAdmission()
}

// cancelTimeout bounds the connection that carries a cancel request.
const cancelTimeout = time.Second

// Cancel implements Leg.
func (l *localExecutor) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connReleased {
		_ = l.conn.Cancel(cancelTimeout) // a cancel request has no answer
	}
}
