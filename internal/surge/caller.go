package surge

import (
	"fmt"
	"math/rand"
	"time"

	"siskintray.example/siskin/platform/stand"
)

// caller has one session at a time.
type caller struct {
	l       *Load
	n       int
	route   string
	patient bool
	rng     *rand.Rand
	c       *stand.Client
	number  int // of the last write
}

func (c *caller) run(stop <-chan struct{}) {
	defer c.close()
	for {
		// Callers must not send at the same moments.
		pause := time.Duration(c.rng.Int63n(2 * int64(c.l.pace())))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if c.c == nil {
			var err error
			if c.c, err = c.l.Dial(c.route, c.rng); err != nil {
				c.c = nil
				time.Sleep(redialPause)
				continue
			}
		}
		text := fmt.Sprintf("READ surge-%d", c.n)
		if kind := c.rng.Intn(4); kind < 2 {
			c.number++
			text = fmt.Sprintf("WRITE surge-%d %d", c.n, c.number)
			if kind == 0 {
				c.transaction(text)
				continue
			}
		}
		res, ok := c.query(text)
		after := res.RetryAfter()
		if !ok || !c.patient || after == 0 {
			continue
		}
		told := time.Now()
		time.Sleep(after)
		select {
		case <-stop:
			c.returnLast(text, &res, told)
			return
		default:
		}
	}
}

// returnLast sends a refused statement again at the stated time, after the load
// has ended.
func (c *caller) returnLast(text string, refusal *stand.Result, told time.Time) {
	sent := time.Now()
	res, ok := c.query(text)
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.returned++
	if !ok || res.Code != "" {
		c.l.unserved = append(c.l.unserved, fmt.Sprintf("%s on %s, refused with %q and sent again %v later, %v after the end of the load: got %s %s, request %s, want it served",
			text, c.route, refusal.Text, sent.Sub(told), sent.Sub(c.l.ended), res.Code, res.Text, res.Request))
	}
}

func (c *caller) transaction(write string) {
	if res, ok := c.query("BEGIN"); !ok || res.Code != "" {
		return
	}
	res, ok := c.query(write)
	if !ok {
		return
	}
	if res.Code != "" {
		c.query("ROLLBACK")
		return
	}
	if res, ok = c.query("COMMIT"); ok {
		c.l.CheckOpen("COMMIT", &res)
	}
}

// query sends a statement. The result ok is false when the session broke.
func (c *caller) query(text string) (res stand.Result, ok bool) {
	res, err := c.c.Query(text)
	if err != nil {
		c.close()
		return res, false
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	switch {
	case res.Code == "":
		c.l.served[c.route]++
	case res.NotRun():
		c.l.refused[res.Request] = res.Text
	}
	return res, true
}

func (c *caller) close() {
	if c.c != nil {
		c.c.Conn.Close()
		c.c = nil
	}
}
