package labcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// callersPlan tells the process of the callers where to connect.
type callersPlan struct {
	Address, CA           string
	Customer, Key         string
	Reads, Writes         string // databases
	Connections, WriteOne int    // one connection in WriteOne writes
}

// callersRun orders one run; the answer is a callersResult.
type callersRun struct {
	Duration time.Duration
	Workers  int // statements in progress
	Pause    time.Duration
}

type callersResult struct {
	Statements, Failed int64
	FirstError         string
	P50, P99           time.Duration
}

// rawCaller is an open connection that sends one statement at a time.
type rawCaller struct {
	conn net.Conn
	r    *pgproto3.Frontend
	text []byte
}

// runCallers is the process of the callers: it opens the connections of a plan
// on standard input and then runs what it is ordered to.
func runCallers() int {
	in, out := json.NewDecoder(os.Stdin), json.NewEncoder(os.Stdout)
	var plan callersPlan
	if err := in.Decode(&plan); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	callers, err := plan.open()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	err = out.Encode(callersResult{}) // the connections are open
	for err == nil {
		var run callersRun
		if err = in.Decode(&run); err == nil {
			err = out.Encode(run.do(callers))
		}
	}
	return 0 // the test has ended
}

func (p *callersPlan) open() ([]*rawCaller, error) {
	callers := make([]*rawCaller, p.Connections)
	var wg sync.WaitGroup
	var first atomic.Pointer[error]
	next := atomic.Int64{}
	for range 16 {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(callers) && first.Load() == nil; i = int(next.Add(1)) - 1 {
				c, err := p.connect(i)
				if err != nil {
					first.Store(&err)
				}
				callers[i] = c
			}
		})
	}
	wg.Wait()
	if err := first.Load(); err != nil {
		return nil, *err
	}
	return callers, nil
}

func (p *callersPlan) connect(i int) (*rawCaller, error) {
	database, query := p.Reads, "SELECT v FROM kv WHERE k = 'k'"
	if i%p.WriteOne == 0 {
		database, query = p.Writes, "UPDATE kv SET v = 'w' WHERE k = 'k'"
	}
	mode := "disable"
	if p.CA != "" {
		mode = "verify-full sslrootcert=" + p.CA
	}
	host, port, _ := net.SplitHostPort(p.Address)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := pgconn.Connect(ctx, fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=%s sslmode=%s", host, port, p.Customer, p.Key, database, mode))
	if err != nil {
		return nil, err
	}
	h, err := conn.Hijack()
	if err != nil {
		return nil, err
	}
	text, err := (&pgproto3.Query{String: query}).Encode(nil)
	// The client may have a read in progress after a slow write; only its own
	// Frontend gets what that read returns.
	return &rawCaller{h.Conn, h.Frontend, text}, err
}

// do keeps Workers statements in progress, each on the next connection of its
// part of the callers.
func (run *callersRun) do(callers []*rawCaller) (result callersResult) {
	end := time.Now().Add(run.Duration)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var times []time.Duration
	for w := range run.Workers {
		part := callers[w*len(callers)/run.Workers : (w+1)*len(callers)/run.Workers]
		wg.Go(func() {
			var own []time.Duration
			var failed int64
			var text string
			for i := 0; time.Now().Before(end); i++ {
				began := time.Now()
				if err := part[i%len(part)].statement(); err != nil {
					failed, text = failed+1, err.Error()
				}
				own = append(own, time.Since(began))
				time.Sleep(run.Pause)
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, own...)
			result.Failed += failed
			result.FirstError = max(result.FirstError, text)
		})
	}
	wg.Wait()
	slices.Sort(times)
	result.Statements = int64(len(times))
	if len(times) > 0 {
		result.P50, result.P99 = times[len(times)/2], times[len(times)*99/100]
	}
	return result
}

// answerTimeout is above every deadline of a route, so that a missing answer
// fails the run.
const answerTimeout = 30 * time.Second

// statement sends the statement and reads the answer to its end.
func (c *rawCaller) statement() (failed error) {
	if err := c.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	if _, err := c.conn.Write(c.text); err != nil {
		return err
	}
	for {
		m, err := c.r.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			failed = fmt.Errorf("%s %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return failed
		}
	}
}
