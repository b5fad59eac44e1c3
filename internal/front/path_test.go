package front

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// TestReadYourWrites guards against a path on which a caller's read misses its
// own write, with pgx's default protocol and over local and forwarded slots.
func TestReadYourWrites(t *testing.T) {
	f := startFleet(t, 3, nil)
	ctx := context.Background()
	for i, vm := range f.vms {
		w := vm.connect(t, "write", "")
		for j := range 20 {
			key, value := string(rune('a'+i))+string(rune('a'+j)), strings.Repeat("v", 10+j)
			if _, err := w.Exec(ctx, "insert into kv values ($1, $2)", key, value); err != nil {
				t.Fatal(err)
			}
			token := w.PgConn().ParameterStatus("siskintray.token")
			r := f.vms[(i+1)%3].connect(t, "read", "siskintray.token="+token)
			var got string
			if err := r.QueryRow(ctx, "select v from kv where k = $1", key).Scan(&got); err != nil || got != value {
				t.Fatalf("%s: got %q, %v, want %q", key, got, err, value)
			}
			_ = r.Close(ctx)
		}
	}
	var replica, primary int64
	for _, vm := range f.vms {
		st := vm.front.Stats()
		replica, primary = replica+st.ReplicaReads, primary+st.PrimaryReads
	}
	if replica*10 < 9*(replica+primary) {
		t.Errorf("got %d replica reads and %d primary reads, want 90%% at replicas", replica, primary)
	}
	for _, s := range f.targets {
		if s.Received(testKey) {
			t.Errorf("target %s received the caller's key", s.ID())
		}
	}
}

// TestTransactionsAndProtocols guards against a query mode of pgx whose
// messages are not relayed completely.
func TestTransactionsAndProtocols(t *testing.T) {
	f := startFleet(t, 2, nil)
	ctx := context.Background()
	for _, vm := range f.vms {
		for _, mode := range []pgx.QueryExecMode{
			pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
			pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
		} {
			conn := vm.connect(t, "write", "")
			for range 3 {
				tx, err := conn.Begin(ctx)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := tx.Exec(ctx, "insert into kv values ($1, $2) on conflict (k) do update set v = excluded.v", mode, string(vm.id), mode.String()); err != nil {
					t.Fatal(mode, err)
				}
				if err := tx.Commit(ctx); err != nil {
					t.Fatal(mode, err)
				}
				var got string
				if err := conn.QueryRow(ctx, "select v from kv where k = $1", mode, string(vm.id)).Scan(&got); err != nil || got != mode.String() {
					t.Fatalf("%v: got %q, %v", mode, got, err)
				}
			}
		}
	}
	eventually(t, "every write ended", func() bool { return f.group.runningWrites.Load() == 0 })
}

// TestCopyAndLongAnswers guards against a long stream that is truncated or
// mixed with another one.
func TestCopyAndLongAnswers(t *testing.T) {
	f := startFleet(t, 2, nil)
	ctx := context.Background()
	for i, vm := range f.vms {
		conn := vm.connect(t, "write", "")
		var rows [][]any
		for j := range 3000 {
			rows = append(rows, []any{strings.Repeat("k", i+1) + string(rune('0'+j%10)) + strings.Repeat("x", j/10), strings.Repeat("v", 100)})
		}
		n, err := conn.PgConn().CopyFrom(ctx, strings.NewReader(copyText(rows)), "copy kv from stdin")
		if err != nil || n.RowsAffected() != int64(len(rows)) {
			t.Fatalf("got %v, %v, want %d rows", n, err, len(rows))
		}
		var out strings.Builder
		if _, err := conn.PgConn().CopyTo(ctx, &out, "copy kv to stdout"); err != nil {
			t.Fatal(err)
		}
		if got, want := strings.Count(out.String(), "\n"), (i+1)*len(rows); got != want {
			t.Errorf("copied out: got %d lines, want %d", got, want)
		}
		rs, err := conn.Query(ctx, "select generate_series(1, 200000)")
		if err != nil {
			t.Fatal(err)
		}
		count := 0
		for rs.Next() {
			count++
		}
		if rs.Err() != nil || count != 200000 {
			t.Errorf("got %d rows, %v, want 200000", count, rs.Err())
		}
	}
}

func copyText(rows [][]any) string {
	var b strings.Builder
	for _, r := range rows {
		b.WriteString(r[0].(string) + "\t" + r[1].(string) + "\n")
	}
	return b.String()
}

// eventually fails the test when the condition does not hold within 3 s.
func eventually(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	for range 300 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	tb.Fatalf("not within 3 s: %s", what)
}
