package group_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/group"
)

// writers runs writes through some VMs and records which were acknowledged, and
// when.
type writers struct {
	t       *testing.T
	servers []*target.Server
	wg      sync.WaitGroup
	mu      sync.Mutex
	acked   map[string]time.Time
	failed  map[siskin.ErrorKind]int
}

func (w *writers) writeUntilDone(ctx context.Context, vm string, g *group.Group) {
	defer w.wg.Done()
	var conn *pgconn.PgConn
	var at siskin.TargetID
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("%s-%d", vm, i)
		err := w.write(ctx, g, &conn, &at, key)
		w.mu.Lock()
		if err == nil {
			w.acked[key] = time.Now()
		} else if ctx.Err() == nil {
			w.failed[siskin.KindOf(err)]++
		}
		w.mu.Unlock()
		if err != nil {
			time.Sleep(5 * time.Millisecond)
		}
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// write runs one transaction. It retries it when the target refused it as read
// only (SQLSTATE 25006) and so did not run it, as the VM that owns a slot does.
func (w *writers) write(ctx context.Context, g *group.Group, conn **pgconn.PgConn, at *siskin.TargetID, key string) error {
	for {
		primary, term, done, err := g.AdmitWrite(ctx)
		if err != nil {
			return err
		}
		tryCtx, cancel := contextOfTerm(ctx, g, term)
		err = w.tryOnce(tryCtx, g, conn, at, primary, key)
		cancel()
		done()
		var pg *pgconn.PgError
		if !errors.As(err, &pg) || pg.Code != "25006" {
			return err
		}
		g.ReportFailure(primary, siskin.NewError(siskin.NotRun, "refused").WithCause(err))
		_ = (*conn).Close(ctx)
		*conn = nil
	}
}

func (w *writers) tryOnce(ctx context.Context, g *group.Group, conn **pgconn.PgConn, at *siskin.TargetID, primary siskin.TargetID, key string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if *conn == nil || (*conn).IsClosed() || *at != primary {
		if *conn != nil {
			_ = (*conn).Close(ctx)
		}
		i := slices.IndexFunc(w.servers, func(s *target.Server) bool { return s.ID() == primary })
		if *conn, err = pgconn.Connect(ctx, "postgres://"+"siskin:full-secret@"+w.servers[i].Address()+"/app?sslmode=disable&siskin.slot=0"); err != nil {
			g.ReportFailure(primary, err)
			*conn = nil
			return siskin.NewError(siskin.NotRun, "connect").WithCause(err)
		}
		*at = primary
	}
	for _, sql := range []string{"begin", "insert into kv (k, v) values ('" + key + "', 'x')", "commit"} {
		if _, err = (*conn).Exec(ctx, sql).ReadAll(); err != nil {
			break
		}
	}
	var pos siskin.Position
	if err == nil {
		pos, err = commitPosition(ctx, *conn)
	}
	if err != nil {
		var pg *pgconn.PgError
		if !errors.As(err, &pg) {
			g.ReportFailure(primary, err)
			err = siskin.NewError(siskin.OutcomeUnknown, "connection").WithCause(err)
		}
		return err
	}
	return g.Confirm(ctx, pos)
}

// contextOfTerm returns a context that ends when the group has a later term,
// since a transaction at the replaced primary can no longer be acknowledged.
func contextOfTerm(ctx context.Context, g *group.Group, term siskin.Term) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			changed := g.Changed()
			if g.View().Term > term {
				cancel()
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return ctx, cancel
}

func commitPosition(ctx context.Context, conn *pgconn.PgConn) (pos siskin.Position, err error) {
	res, err := conn.Exec(ctx, "select * from siskin_commit_position()").ReadAll()
	if err != nil {
		return pos, err
	}
	row := res[0].Rows[0]
	if _, err = fmt.Sscan(string(row[0]), &pos.Term); err != nil {
		return pos, err
	}
	pos.LSN, err = siskin.ParseLSN(string(row[1]))
	return pos, err
}

// lostWrites returns the acknowledged keys that the current primary does not
// have.
func (w *writers) lostWrites(g *group.Group) (missing []string) {
	for _, s := range w.servers {
		if s.ID() == g.View().Primary {
			table := s.Store().Table()
			for key := range w.acked {
				if _, ok := table[key]; !ok {
					missing = append(missing, key)
				}
			}
		}
	}
	return missing
}

// gap returns the longest time between acknowledged writes that spans or
// follows the fault.
func (w *writers) gap(fault time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	times := slices.SortedFunc(func(yield func(time.Time) bool) {
		for _, at := range w.acked {
			if !yield(at) {
				return
			}
		}
	}, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(times); i++ {
		if times[i].After(fault) {
			longest = max(longest, times[i].Sub(times[i-1]))
		}
	}
	return longest
}

// stillBlocked reports whether writes have not resumed since the fault: fewer
// than 4 were acknowledged later than 100 ms after it, so possibly none that
// began after the change of term.
func (w *writers) stillBlocked(fault time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, at := range w.acked {
		if at.After(fault.Add(100 * time.Millisecond)) {
			n++
		}
	}
	return n < 4
}
