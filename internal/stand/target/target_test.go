package target_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"

	"siskintray.example/siskin/internal/stand/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startGroup(t *testing.T, edit func(*target.Config)) []*target.Server {
	t.Helper()
	servers, err := target.StartGroup("ledger", 3, edit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.CloseAll(servers) })
	return servers
}

func connect(t *testing.T, s *target.Server, account, options string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), "postgres://"+account+"@"+s.Address()+"/app?"+options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

const (
	full = "siskin:full-secret"
	read = "siskin_read:read-secret"
)

func state(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// TestPgxDefaultModeWorks guards against answers that pgx with its cached
// prepared statements and binary integers does not understand.
func TestPgxDefaultModeWorks(t *testing.T) {
	conn := connect(t, startGroup(t, nil)[0], full, "siskin.slot=0")
	ctx := t.Context()
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "insert into kv (k, v) values ($1, $2)", "a", "it's"); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	if err := conn.Ping(ctx); err != nil {
		t.Fatal(err)
	}
	_, err = conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', 'x')")
	if got, want := state(err), "23505"; got != want {
		t.Fatalf("duplicate insert: got %q, want %q", got, want)
	}
	if _, err := conn.Exec(ctx, "INSERT INTO kv(k,v) VALUES ('b','x;y') ON CONFLICT (k) DO UPDATE SET v = EXCLUDED.v; UPDATE kv SET v = 'z' WHERE k = 'b'", pgx.QueryExecModeSimpleProtocol); err != nil {
		t.Fatal(err)
	}
	var v string
	if err := conn.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", "a").Scan(&v); err != nil || v != "it's" {
		t.Fatalf("got %q, %v, want %q", v, err, "it's")
	}
	var n int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM kv").Scan(&n); err != nil || n != 2 {
		t.Fatalf("got %d rows, %v, want 2", n, err)
	}
	rows, _ := conn.Query(ctx, "select generate_series(1, $1)", 3000)
	series, err := pgx.CollectRows(rows, pgx.RowTo[int])
	if err != nil || len(series) != 3000 || series[2999] != 3000 {
		t.Fatalf("got %d rows, %v, want 3000", len(series), err)
	}
}

// TestCopyAndCancel guards against a copy that loses rows and a cancel request
// that does not reach its statement.
func TestCopyAndCancel(t *testing.T) {
	conn := connect(t, startGroup(t, nil)[0], full, "").PgConn()
	ctx := t.Context()
	tag, err := conn.CopyFrom(ctx, strings.NewReader("a\t1\nb\tx\\ty\n"), "COPY kv FROM STDIN")
	if err != nil || tag.String() != "COPY 2" {
		t.Fatalf("got %q, %v, want COPY 2", tag, err)
	}
	var out strings.Builder
	if _, err := conn.CopyTo(ctx, &out, "copy kv (k, v) to stdout"); err != nil {
		t.Fatal(err)
	}
	if got, want := out.String(), "a\t1\nb\tx\\ty\n"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	time.AfterFunc(50*time.Millisecond, func() { _ = conn.CancelRequest(ctx) })
	_, err = conn.Exec(ctx, "select pg_sleep(20)").ReadAll()
	if got, want := state(err), "57014"; got != want {
		t.Fatalf("got %q (%v), want %q", got, err, want)
	}
}

// TestReadOnlyAccountCannotWrite guards against a caller of a read route that
// overrides the read-only default.
func TestReadOnlyAccountCannotWrite(t *testing.T) {
	servers := startGroup(t, nil)
	for _, c := range []struct {
		server           *target.Server
		account, options string
		sql, want        string
	}{
		{servers[0], read, "default_transaction_read_only=on", "begin read write; insert into kv values ('a', 'b'); commit", "42501"},
		{servers[0], read, "", "select siskin_claim(9, 'vm-1')", "42501"},
		{servers[0], full, "default_transaction_read_only=on", "delete from kv where k='a'", "25006"},
		{servers[0], full, "", "begin read only; copy kv from stdin", "25006"},
		{servers[1], full, "", "insert into kv values ('a', 'b')", "25006"},
	} {
		_, err := connect(t, c.server, c.account, c.options).PgConn().Exec(t.Context(), c.sql).ReadAll()
		if got := state(err); got != c.want {
			t.Errorf("%s: got %q (%v), want %q", c.sql, got, err, c.want)
		}
	}
	if got := len(servers[0].Store().Table()); got != 0 {
		t.Errorf("got %d rows, want none", got)
	}
}

// TestSlotLimit guards against more connections in a slot than configured.
func TestSlotLimit(t *testing.T) {
	s := startGroup(t, func(c *target.Config) { c.ConnectionsPerSlot = 2 })[0]
	connect(t, s, full, "siskin.slot=1")
	connect(t, s, full, "siskin.slot=1")
	_, err := pgx.Connect(t.Context(), "postgres://"+full+"@"+s.Address()+"/app?siskin.slot=1")
	if got, want := state(err), "53300"; got != want {
		t.Fatalf("got %q (%v), want %q", got, err, want)
	}
	connect(t, s, full, "")
	st := s.Stats()
	if st.Slots[1].Max != 2 || st.Refused != 1 || st.Control.Open != 1 {
		t.Fatalf("got %+v, want at most 2 in slot 1, 1 refused, 1 control connection", st)
	}
}
