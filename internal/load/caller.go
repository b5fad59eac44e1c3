package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"

	"siskintray.example/siskin"
)

// tokenParameter is the parameter status and start-up option of the token.
const tokenParameter = "siskintray.token"

// caller is one session: it writes keys of its own and reads back what was
// acknowledged last.
type caller struct {
	number int
	run    *Run
	group  *Group
	random *rand.Rand
	vm     int
	conn   *pgx.Conn
	route  siskin.RouteName
	token  string
	seq    int
	acked  string // last key whose write was acknowledged
}

// maxBacklog is how long after the end of a run requests that were due in it
// are still sent.
const maxBacklog = 3 * time.Second

// loop sends requests at their intended times until the run ends.
func (c *caller) loop(ctx context.Context) {
	defer c.disconnect()
	perCaller := float64(c.group.Rate) / float64(c.group.Callers)
	due := c.run.elapsed() + c.interval(perCaller)
	nextMove := c.nextMove(due)
	for due < c.run.duration {
		if !sleepUntil(ctx, c.run.start.Add(due)) {
			return
		}
		if c.run.elapsed() > c.run.duration+maxBacklog {
			c.run.Recorder.Add(c.number, Event{Customer: c.group.Customer, Intended: due, Sent: due, Ended: c.run.elapsed(), Outcome: NotSent})
			due += c.interval(perCaller)
			continue
		}
		if c.group.RoamEvery > 0 && due >= nextMove {
			c.move()
			nextMove = c.nextMove(due)
		}
		c.request(ctx, due)
		due += c.interval(perCaller)
	}
}

// interval returns the time between two arrivals of a Poisson process.
func (c *caller) interval(rate float64) time.Duration {
	return time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
}

func (c *caller) nextMove(now time.Duration) time.Duration {
	return now + time.Duration(c.random.ExpFloat64()*float64(c.group.RoamEvery))
}

func (c *caller) move() {
	c.disconnect()
	c.vm = c.random.IntN(len(c.run.cfg.VMs))
	if c.group.NoToken {
		c.token = ""
	}
}

func (c *caller) request(ctx context.Context, due time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, c.run.cfg.Timeout)
	defer cancel()
	e := Event{Customer: c.group.Customer, Intended: due, Operation: Read, FromVM: c.vm}
	if c.random.Float64() < c.group.WriteShare {
		e.Operation = Write
	}
	e.Sent = c.run.elapsed()
	if err := c.connect(ctx, e.Operation); err != nil {
		e.Outcome = OutcomeOf(err)
		if e.Outcome == ConnectionLost {
			e.Outcome = NotConnected
		}
		c.disconnect()
		c.vm = c.random.IntN(len(c.run.cfg.VMs))
	} else if e.Operation == Write {
		c.write(ctx, &e)
	} else {
		c.read(ctx, &e)
	}
	e.Ended = c.run.elapsed()
	c.run.Recorder.Add(c.number, e)
}

// connect opens the connection if needed and selects the operation's route.
func (c *caller) connect(ctx context.Context, op Operation) error {
	route := c.run.cfg.ReadRoute
	if op == Write {
		route = c.run.cfg.WriteRoute
	}
	if c.conn == nil {
		return c.open(ctx, route)
	}
	if route == c.route {
		return nil
	}
	if _, err := c.conn.Exec(ctx, fmt.Sprintf("SET siskintray.route = '%s'", route)); err != nil {
		return err
	}
	c.route = route
	return nil
}

func (c *caller) open(ctx context.Context, route siskin.RouteName) error {
	address := c.run.cfg.VMs[c.vm]
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", c.group.Customer, address, c.group.Service))
	if err != nil {
		return err
	}
	cfg.Database = fmt.Sprintf("%s/%s", c.group.Service, route)
	cfg.Password, cfg.TLSConfig = c.group.Key, TLSFor(c.run.cfg.TLS, address)
	if c.group.Unprepared {
		cfg.DefaultQueryExecMode = pgx.QueryExecModeExec
	}
	if c.token != "" {
		cfg.RuntimeParams[tokenParameter] = c.token
	}
	if c.run.cfg.Dial != nil {
		cfg.DialFunc = c.run.cfg.Dial
	}
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return err
	}
	c.conn, c.route = conn, route
	return nil
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx) // the session ends either way
	c.conn = nil
}

func (c *caller) write(ctx context.Context, e *Event) {
	c.seq++
	e.Key = fmt.Sprintf("%sc%d-%d", c.run.cfg.KeyPrefix, c.number, c.seq)
	_, err := c.conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2)", e.Key, strconv.Itoa(c.seq))
	c.finish(e, err)
	if e.Outcome == Acknowledged {
		c.acked = e.Key
	}
	if e.Outcome == "SQLState23505" {
		c.run.Recorder.Breach(c.number, fmt.Sprintf("at most once: the first INSERT of %s found the key present", e.Key))
	}
}

func (c *caller) read(ctx context.Context, e *Event) {
	if c.group.Statement != "" {
		_, err := c.conn.Exec(ctx, c.group.Statement)
		c.finish(e, err)
		return
	}
	var value string
	err := c.conn.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", c.acked).Scan(&value)
	missing := err == pgx.ErrNoRows
	if missing {
		err = nil
	}
	c.finish(e, err)
	if missing && c.acked != "" {
		c.run.Recorder.Breach(c.number, fmt.Sprintf("read-your-writes: %s was acknowledged and not found %v into the run", c.acked, e.Sent))
	}
}

// finish classifies the result, keeps the token and drops a broken connection.
func (c *caller) finish(e *Event, err error) {
	e.Outcome = OutcomeOf(err)
	if c.conn.IsClosed() {
		c.disconnect()
		c.vm = c.random.IntN(len(c.run.cfg.VMs))
		return
	}
	if token := c.conn.PgConn().ParameterStatus(tokenParameter); token != "" {
		c.token = token
	}
}
