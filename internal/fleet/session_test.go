package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
)

const tokenParameter = "siskintray.token"

// session is a caller that moves between VMs with its token.
type session struct {
	f      *Fleet
	h      *history
	rng    *rand.Rand
	number int
	all    int      // number of sessions
	vms    []string // caller addresses
	writer *pgx.Conn
	token  string
	acked  int
	n      int
}

func keyOf(number int) string { return "k" + strconv.Itoa(number) }

// run writes its own key, reads it back, and reads the keys of others with
// their tokens, until the context ends.
func (s *session) run(ctx context.Context) {
	defer s.leave()
	for ctx.Err() == nil {
		switch s.rng.IntN(4) {
		case 0, 1:
			s.write()
		case 2:
			s.read(keyOf(s.number), shown{s.acked, s.token})
		case 3:
			key := keyOf(s.rng.IntN(s.all))
			s.read(key, s.h.latest(key))
		}
		if s.rng.IntN(20) == 0 {
			s.leave()
		}
	}
}

// connect opens a connection to a random VM.
func (s *session) connect(ctx context.Context, route siskin.RouteName, token string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://any@%s/x?sslmode=disable", s.vms[s.rng.IntN(len(s.vms))]))
	if err != nil {
		return nil, err
	}
	customer := s.f.Profile.Customers[s.number%len(s.f.Profile.Customers)].ID
	cfg.Database = fmt.Sprintf("%s/%s", s.f.Profile.Services[0], route)
	cfg.Password = s.f.Keys[customer]
	cfg.DefaultQueryExecMode = pgx.QueryExecModeExec
	if token != "" {
		cfg.RuntimeParams[tokenParameter] = token
	}
	return pgx.ConnectConfig(ctx, cfg)
}

func (s *session) leave() {
	if s.writer != nil {
		s.close(s.writer)
		s.writer = nil
	}
}

func (s *session) close(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx) // the session ends either way
}

func (s *session) write() {
	ctx, cancel := context.WithTimeout(context.Background(), RequestTimeout)
	defer cancel()
	if s.writer == nil {
		conn, err := s.connect(ctx, WriteRoute, s.token)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			return
		}
		s.writer = conn
	}
	s.n++
	_, err := s.writer.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = excluded.v", keyOf(s.number), strconv.Itoa(s.n))
	if err == nil {
		s.token, s.acked = s.writer.PgConn().ParameterStatus(tokenParameter), s.n
	}
	s.h.wrote(keyOf(s.number), load.OutcomeOf(err), s.token)
	if s.writer.IsClosed() {
		s.leave()
	}
}

// read reads a key with the token of an acknowledged write.
func (s *session) read(key string, after shown) {
	ctx, cancel := context.WithTimeout(context.Background(), RequestTimeout)
	defer cancel()
	conn, err := s.connect(ctx, ReadRoute, after.token)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer s.close(conn)
	var value string
	err = conn.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", key).Scan(&value)
	if err == nil || errors.Is(err, pgx.ErrNoRows) {
		s.h.read("session "+strconv.Itoa(s.number), key, value, after.n)
	}
}
