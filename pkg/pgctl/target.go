package pgctl

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"siskintray.example/siskin"
)

// Target is one control connection. Calls are serialized. A call that fails
// for any reason but an error of the target closes the connection.
type Target struct {
	id   siskin.TargetID
	mu   sync.Mutex // held during a call
	conn *pgconn.PgConn
	// prepared holds the statements that were used twice, and nil for those used
	// once: a repeated probe then sends neither the statement's text nor the
	// column names, which are most of its bytes.
	prepared      map[string]*pgconn.StatementDescription
	preparedCount int // names given so far

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
}

var (
	_ siskin.Target  = (*Target)(nil)
	_ siskin.Drainer = (*Target)(nil)
)

func newTarget(id siskin.TargetID, conn *pgconn.PgConn) *Target {
	t := &Target{id: id, conn: conn, prepared: make(map[string]*pgconn.StatementDescription)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Status implements siskin.Target.
func (t *Target) Status(ctx context.Context) (siskin.TargetStatus, error) {
	return t.status(ctx, "select * from siskin_status()")
}

// Wait implements siskin.Target.
func (t *Target) Wait(ctx context.Context, pos siskin.Position, limit time.Duration) (siskin.TargetStatus, error) {
	return t.status(ctx, "select * from siskin_wait($1, $2, $3)",
		formatTerm(pos.Term), pos.LSN.String(), formatMillis(limit))
}

// Claim implements siskin.Target. A claim that was not granted is an error of
// kind Conflict next to the present status.
func (t *Target) Claim(ctx context.Context, term siskin.Term, vm siskin.VMID) (siskin.TargetStatus, error) {
	row, err := t.call(ctx, "select * from siskin_claim($1, $2)", formatTerm(term), string(vm))
	if err != nil {
		return siskin.TargetStatus{}, err
	}
	st, err := parseStatus(row[1:])
	if err == nil && row[0] != "true" {
		err = siskin.NewError(siskin.Conflict, "target %s is claimed for term %d by %s", t.id, st.ClaimedTerm, st.ClaimedBy).
			WithRemedy("claim a higher term")
	}
	return st, err
}

// Promote implements siskin.Target.
func (t *Target) Promote(ctx context.Context, term siskin.Term) (siskin.TargetStatus, error) {
	st, err := t.status(ctx, "select * from pg_promote()")
	if err == nil && st.StreamTerm != term {
		err = siskin.NewError(siskin.Conflict, "target %s was promoted to term %d, not %d", t.id, st.StreamTerm, term).
			WithRemedy("claim the term before the promotion")
	}
	return st, err
}

// Follow implements siskin.Target.
func (t *Target) Follow(ctx context.Context, primary siskin.TargetID, address string, term siskin.Term) error {
	_, err := t.status(ctx, "select * from siskin_follow($1, $2, $3)", string(primary), address, formatTerm(term))
	return err
}

// Drain implements siskin.Drainer.
func (t *Target) Drain(ctx context.Context, hold time.Duration) (siskin.TargetStatus, error) {
	return t.status(ctx, "select * from siskin_drain($1)", formatMillis(hold))
}

// Close ends the connection and waits for a call in progress, which it cancels.
func (t *Target) Close() error {
	t.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeLocked()
	return nil
}

// closeLocked closes the connection without waiting for the target, which may
// be silent.
func (t *Target) closeLocked() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = t.conn.Close(ctx) // the connection is of no further use
}

func (t *Target) status(ctx context.Context, sql string, args ...string) (siskin.TargetStatus, error) {
	row, err := t.call(ctx, sql, args...)
	if err != nil {
		return siskin.TargetStatus{}, err
	}
	return parseStatus(row)
}

// call runs one function and returns its row.
func (t *Target) call(ctx context.Context, sql string, args ...string) ([]string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	values := make([][]byte, len(args))
	for i, a := range args {
		values[i] = []byte(a)
	}
	res := t.execute(ctx, sql, values)
	if res.Err != nil {
		if !isTargetError(res.Err) {
			t.closeLocked()
		}
		return nil, wrapError("call", t.id, res.Err)
	}
	if len(res.Rows) != 1 {
		return nil, siskin.NewError(siskin.BadInput, "target %s returned %d rows", t.id, len(res.Rows)).
			WithRemedy("install the siskin functions at the target")
	}
	row := make([]string, len(res.Rows[0]))
	for i, v := range res.Rows[0] {
		row[i] = string(v)
	}
	return row, nil
}

// execute runs a statement, as a prepared one from its second use on.
func (t *Target) execute(ctx context.Context, sql string, values [][]byte) *pgconn.Result {
	statement, used := t.prepared[sql]
	if !used {
		t.prepared[sql] = nil
		return t.conn.ExecParams(ctx, sql, values, nil, nil, nil).Read()
	}
	if statement == nil {
		var err error
		t.preparedCount++
		name := "s" + strconv.Itoa(t.preparedCount)
		if statement, err = t.conn.Prepare(ctx, name, sql, nil); err != nil {
			return &pgconn.Result{Err: err}
		}
		t.prepared[sql] = statement
	}
	return t.conn.ExecStatement(ctx, statement, values, nil, nil).Read()
}
