package procs

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"siskintray.example/siskin/platform/stand"
)

const (
	// sharedItems is the number of items that all callers write, rowItems of those
	// that are written at the target itself.
	sharedItems = 8
	rowItems    = 6
)

// preparedNames collide between sessions, and so do the beginnings of sharedShapes.
var (
	preparedNames = []string{"s1", "s2", "q2", "w_q2"}
	sharedShapes  = []string{"q1", "q2", "q2 READ psvocxu", "q2 WRITE", "q2 ", " q2", "q2\n", "q2\r", "q\x002", "q\xe42", "q\xc3\xa42"}
	valueNames    = []string{"mode", "zone", "lang"}
)

// hostileCaller sends legal but unusual statements, a session at a time.
type hostileCaller struct {
	f        *fleet
	n        int
	rng      *rand.Rand
	c        *stand.Client
	sessions int
	tokens   int
	values   map[string]string // replaced at each change
	prepared map[string]string // mode and text by name
	calls    []*call
}

func (h *hostileCaller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			h.close()
			return
		case <-time.After(time.Duration(h.rng.Intn(5000)) * time.Microsecond):
		}
		if h.c == nil && !h.open() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		h.operation()
	}
}

func (h *hostileCaller) open() bool {
	v := h.f.vms[h.rng.Intn(len(h.f.vms))]
	route := []string{"orders", "orders", "press", "designs"}[h.rng.Intn(4)]
	c, err := stand.Dial(v.caller, route, mainKey)
	if err != nil {
		return false
	}
	h.c, h.values, h.prepared = c, nil, make(map[string]string)
	h.sessions++
	return true
}

func (h *hostileCaller) close() {
	if h.c != nil {
		h.c.Conn.Close()
		h.c = nil
	}
}

// operation sends a single statement, a transaction, or changes the session.
func (h *hostileCaller) operation() {
	switch n := h.rng.Intn(40); {
	case n == 0:
		h.close()
	case n < 4:
		h.set()
	case n < 9:
		h.prepare()
	case n == 9:
		h.deallocate()
	case n < 28:
		h.send(h.statement(true), nil)
	default:
		h.transaction()
	}
}

// send sends a statement. The result is false if it did not succeed. A session that
// broke is closed.
func (h *hostileCaller) send(c *call, tx *callTx) bool {
	c.session, c.values, c.tx = fmt.Sprintf("%d-%d", h.n, h.sessions), h.values, tx
	if tx != nil {
		tx.calls = append(tx.calls, c)
	}
	text := c.word
	if c.args != "" {
		text += " " + c.args
	}
	if c.word == "EXEC" {
		name, args, _ := strings.Cut(c.args, " ")
		c.shape, c.args = h.prepared[name], args
		c.writes = strings.HasPrefix(c.shape, "WRITE")
	}
	var err error
	c.result, err = h.c.Query(text)
	c.answered = err == nil
	h.calls = append(h.calls, c)
	if err != nil {
		h.close()
	}
	return c.succeeded()
}

// change sends a statement that changes the session. A refusal ends the session,
// as clients do.
func (h *hostileCaller) change(word, args string, tx *callTx) bool {
	if h.send(&call{word: word, args: args}, tx) {
		return true
	}
	h.close()
	return false
}

func (h *hostileCaller) set() bool { return h.setIn(nil) }

func (h *hostileCaller) setIn(tx *callTx) bool {
	name, text := valueNames[h.rng.Intn(len(valueNames))], oddText(h.rng)
	if !h.change("SET", name+" "+text, tx) {
		return false
	}
	values := maps.Clone(h.values)
	if values == nil {
		values = make(map[string]string)
	}
	values[name] = text
	h.values = values
	return true
}

func (h *hostileCaller) prepare() {
	name, shape := preparedNames[h.rng.Intn(len(preparedNames))], sharedShapes[h.rng.Intn(len(sharedShapes))]
	if h.rng.Intn(3) == 0 {
		shape = "q" + oddText(h.rng)
	}
	if h.rng.Intn(2) == 0 {
		shape = "WRITE " + shape
	} else {
		shape = "READ " + shape
	}
	if h.change("PREPARE", name+" "+shape, nil) {
		h.prepared[name] = shape
	}
}

func (h *hostileCaller) deallocate() {
	if names := slices.Sorted(maps.Keys(h.prepared)); len(names) > 0 {
		name := names[h.rng.Intn(len(names))]
		if h.change("DEALLOC", name, nil) {
			delete(h.prepared, name)
		}
	}
}

// statement returns a random read or write. Each write has data of its own.
func (h *hostileCaller) statement(mayWrite bool) *call {
	item := fmt.Sprintf("i%d", h.rng.Intn(sharedItems))
	read := &call{word: "READ", args: item}
	if h.rng.Intn(2) == 0 {
		read.args = fmt.Sprintf("row%d", h.rng.Intn(rowItems))
	}
	if names := slices.Sorted(maps.Keys(h.prepared)); len(names) > 0 && h.rng.Intn(2) == 0 {
		name := names[h.rng.Intn(len(names))]
		switch writes := strings.HasPrefix(h.prepared[name], "WRITE"); {
		case !writes:
			return &call{word: "EXEC", args: name + " " + read.args}
		case mayWrite:
			return &call{word: "EXEC", args: name + " " + item + " " + h.data()}
		}
		return read
	}
	if mayWrite && h.rng.Intn(2) == 0 {
		return &call{word: "WRITE", args: item + " " + h.data(), writes: true}
	}
	return read
}

// data returns odd data that no other write has.
func (h *hostileCaller) data() string {
	h.tokens++
	return fmt.Sprintf("%d.%d.%s", h.n, h.tokens, oddText(h.rng))
}

// transaction sends a transaction of a few statements.
func (h *hostileCaller) transaction() {
	begin := &call{word: "BEGIN"}
	writes := h.rng.Intn(4) > 0
	if !writes {
		begin.args = "READ"
	}
	tx := &callTx{}
	ok := h.send(begin, tx)
	for i := h.rng.Intn(5); ok && i > 0; i-- {
		if h.rng.Intn(8) == 0 {
			ok = h.setIn(tx)
			continue
		}
		ok = h.send(h.statement(writes), tx)
		time.Sleep(time.Duration(h.rng.Intn(2000)) * time.Microsecond)
	}
	if h.c == nil || h.state() == "I" {
		return // broken, or ended by a refusal
	}
	switch n := h.rng.Intn(20); {
	case n == 0:
		h.close() // in the middle
		return
	case ok && n < 15:
		tx.commit = &call{word: "COMMIT"}
		h.send(tx.commit, tx)
	default:
		h.send(&call{word: "ROLLBACK"}, tx)
	}
	if h.c != nil && h.state() != "I" {
		h.close()
	}
}

// state returns the state in the latest answer.
func (h *hostileCaller) state() string { return h.calls[len(h.calls)-1].result.State }
