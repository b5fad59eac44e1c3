package pool

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
)

// repeatingTarget is a target that sends its answer to a statement twice. Before
// a second answer and after it, it waits for a moment.
type repeatingTarget struct {
	listener net.Listener
	wg       sync.WaitGroup
	// repeatBefore is the query before whose answer the previous answer is
	// repeated, and repeatAfter the query whose answer is repeated at once.
	repeatBefore, repeatAfter string
}

const repeatDelay = 20 * time.Millisecond

func startRepeating(t *testing.T, s *repeatingTarget) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = l
	s.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.serve(conn) })
		}
	})
}

// Dial implements Dialer.
func (s *repeatingTarget) Dial(ctx context.Context, _ Key, cfg SlotConfig, _ Account) (DialedConn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", cfg.Address)
	return DialedConn{Conn: conn}, err
}

// Cancel implements Dialer.
func (s *repeatingTarget) Cancel(context.Context, string, uint32, []byte) error { return nil }

func (s *repeatingTarget) serve(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	answer := func(query string) bool {
		if query == "" {
			backend.Send(&pgproto3.EmptyQueryResponse{})
		} else {
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(query)})
		}
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		return backend.Flush() == nil
	}
	last := ""
	for {
		msg, err := backend.Receive()
		if err != nil {
			return
		}
		q, ok := msg.(*pgproto3.Query)
		if !ok {
			return
		}
		if q.String == s.repeatBefore && last != "" {
			if !answer(last) {
				return
			}
			time.Sleep(repeatDelay)
		}
		last = q.String
		if !answer(last) {
			return
		}
		if last == s.repeatAfter {
			time.Sleep(repeatDelay)
			if !answer(last) {
				return
			}
		}
	}
}

// newRepeatingPool returns a pool of one slot with the given settings.
func newRepeatingPool(t *testing.T, s *repeatingTarget, cfg SlotConfig) *Pool {
	t.Helper()
	startRepeating(t, s)
	cfg.Address = s.listener.Addr().String()
	p := New(clockwork.NewRealClock(), s)
	p.Own(key, cfg)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		p.Close(ctx)
		s.listener.Close()
		s.wg.Wait()
	})
	return p
}

// tagOf runs a statement and returns its command tag.
func tagOf(t *testing.T, c *Conn, query string) string {
	t.Helper()
	tag := ""
	if !c.simpleQuery(encodeQuery(query), time.Second, func(typ byte, body []byte) bool {
		if typ == 'C' {
			tag = string(body[:len(body)-1])
		}
		return true
	}) {
		t.Errorf("statement %s: got no complete answer", query)
	}
	return tag
}

// TestRepeatedAnswerBeforeOwnStatement guards against a connection that is leased
// again although its target still owes the answer to a statement of the pool: a
// late second answer to the statement before was taken for it, and the next
// request got the answer of the pool's statement.
func TestRepeatedAnswerBeforeOwnStatement(t *testing.T) {
	for _, c := range []struct {
		name, query string
		run         func(*Pool, *Conn)
	}{
		{"reset", "DISCARD ALL", func(_ *Pool, c *Conn) { c.Recycle(1) }},
		{"probe", "", func(p *Pool, c *Conn) {
			c.Recycle(1)
			c.slot.probeOlder(p.clock.Now())
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newRepeatingPool(t, &repeatingTarget{repeatBefore: c.query}, SlotConfig{Limit: 1})
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			first, err := p.Get(ctx, key, Full, 1)
			if err != nil {
				t.Fatal(err)
			}
			if got := tagOf(t, first, "FIRST"); got != "FIRST" {
				t.Fatalf("first request: got the answer of %s", got)
			}
			c.run(p, first)
			second, err := p.Get(ctx, key, Full, 2)
			if err != nil {
				t.Fatal(err)
			}
			defer second.Close(nil)
			if got := tagOf(t, second, "SECOND"); got != "SECOND" {
				t.Errorf("second request: got the answer of %q, want SECOND", got)
			}
		})
	}
}

// TestRepeatedAnswerBeforeWaiter guards against a connection with an unread second
// answer that is leased to a request which waits for a connection.
func TestRepeatedAnswerBeforeWaiter(t *testing.T) {
	p := newRepeatingPool(t, &repeatingTarget{repeatAfter: "FIRST", repeatBefore: "none"}, SlotConfig{Limit: 1, Stateless: true})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	first, err := p.Get(ctx, key, Full, 1)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan *Conn, 1)
	go func() {
		second, err := p.Get(ctx, key, Full, 2)
		if err != nil {
			t.Error(err)
		}
		done <- second
	}()
	if got := tagOf(t, first, "FIRST"); got != "FIRST" {
		t.Fatalf("first request: got the answer of %s", got)
	}
	time.Sleep(2 * repeatDelay) // the second answer arrives, and the other request waits
	first.Recycle(1)
	second := <-done
	if second == nil {
		return
	}
	defer second.Close(nil)
	if got := tagOf(t, second, "SECOND"); got != "SECOND" {
		t.Errorf("request that waited: got the answer of %q, want SECOND", got)
	}
}
