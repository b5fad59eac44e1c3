package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"

	"siskintray.example/siskin"
)

// target is one backend of a group.
type target struct {
	g        *group
	id, zone string
	address  string
	lag      time.Duration
	slots    chan struct{}
	born     time.Time
	l        net.Listener

	// Guarded by g.mu.
	primary, deaf, draining bool
	left                    bool // the process has ended
	closed                  bool // the run has ended
	term, held              siskin.Term
	log                     []commit
	conns                   map[net.Conn]struct{}
	runs                    []statement
}

// statement is a statement of a client that ran.
type statement struct {
	at       time.Duration
	id, text string
	customer string
	values   map[string]string // of the session, when it ran
}

// listen listens on an address, or on a new one. The caller holds g.mu.
func (t *target) listen(address string) error {
	var l net.Listener
	var err error
	if address == "" {
		l, err = listenFree()
	} else {
		l, err = net.Listen("tcp", address)
	}
	if err != nil {
		return err
	}
	t.l, t.address, t.conns = l, l.Addr().String(), make(map[net.Conn]struct{})
	t.g.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.g.mu.Lock()
			full := len(t.conns) >= t.g.maxConns
			t.conns[conn] = struct{}{}
			if t.closed || t.l != l {
				_ = conn.Close() // the process has ended
			}
			t.g.mu.Unlock()
			t.g.wg.Go(func() {
				s := &session{t: t, conn: conn, prepared: make(map[string]string), values: make(map[string]string)}
				s.serve(full)
				_ = conn.Close() // ended by either side
				t.g.mu.Lock()
				delete(t.conns, conn)
				t.g.mu.Unlock()
			})
		}
	})
	return nil
}

func (t *target) close() {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	_ = t.l.Close() // the process has ended
	for c := range t.conns {
		_ = c.Close() // the run has ended
	}
}

// position returns the end of the log. The caller holds g.mu.
func (t *target) position() siskin.Position {
	if len(t.log) == 0 {
		return siskin.Position{}
	}
	return t.log[len(t.log)-1].pos
}

// has reports whether the log has a position. The caller holds g.mu.
func (t *target) has(p siskin.Position) bool {
	for i := len(t.log) - 1; i >= 0; i-- {
		if t.log[i].pos == p {
			return true
		}
	}
	return false
}

// applied reports whether a commit counts for reads. The caller holds g.mu.
func (t *target) applied(c *commit) bool { return t.primary || time.Since(c.receivedAt) >= t.lag }

// holds reports whether the log sets an item to the given data.
func (t *target) holds(item, data string) bool {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	for i := range t.log {
		for _, c := range t.log[i].changes {
			if c.item == item && c.data == data {
				return true
			}
		}
	}
	return false
}

// statements returns what clients' statements ran.
func (t *target) statements() []statement {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	return append([]statement(nil), t.runs...)
}

func formatPosition(p siskin.Position) string {
	if p.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.Term, p.LSN)
}

// session is one connection to a target.
type session struct {
	t        *target
	conn     net.Conn
	customer string
	prepared map[string]string
	values   map[string]string
	inTx     bool
	readOnly bool
	failed   bool
	changes  []change
}

func (s *session) serve(full bool) {
	r := bufio.NewReader(s.conn)
	line, err := readLine(r)
	f := strings.Fields(line)
	switch {
	case err != nil || len(f) < 3 || f[0] != "START":
		return
	case f[1] != s.t.g.service || len(f) > 3 && f[3] != s.t.id:
		fmt.Fprintf(s.conn, "ERROR MISDIRECT %s\r\n", s.t.id)
		return
	case full:
		fmt.Fprintf(s.conn, "ERROR TOOMANY %s\r\n", s.t.id)
		return
	}
	s.customer = f[2]
	fmt.Fprintf(s.conn, "READY I %s\r\n", s.positionText())
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		rest, ok := strings.CutPrefix(line, "QUERY ")
		id, text, hasText := strings.Cut(rest, " ")
		if !ok || !hasText {
			return
		}
		if s.query(id, text) != nil {
			return
		}
	}
}

func (s *session) positionText() string {
	s.t.g.mu.Lock()
	defer s.t.g.mu.Unlock()
	return formatPosition(s.t.position())
}

// result is the outcome of a statement. A signature shows that it ran.
type result struct {
	row       string
	hasRow    bool
	code      string
	signature string
}

func (s *session) query(id, text string) error {
	res := s.run(id, text)
	if res.code != "" && s.inTx {
		s.failed = true
	}
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.inTx:
		state = "T"
	}
	var b strings.Builder
	if res.hasRow {
		fmt.Fprintf(&b, "ROW %s\r\n", res.row)
	}
	switch {
	case res.code != "":
		fmt.Fprintf(&b, "ERROR %s %s\r\n", res.code, s.t.id)
	case res.signature != "":
		fmt.Fprintf(&b, "DONE %s\r\n", res.signature)
	default:
		b.WriteString("DONE -\r\n")
	}
	fmt.Fprintf(&b, "READY %s %s\r\n", state, s.positionText())
	_, err := s.conn.Write([]byte(b.String()))
	return err
}

func (s *session) run(id, text string) result {
	t := s.t
	word, rest, _ := strings.Cut(text, " ")
	if word == "WAITLSN" {
		floor, after, _ := strings.Cut(rest, " ")
		if !t.reached(floor) {
			return result{code: "LAGGING"}
		}
		text = after
		word, rest, _ = strings.Cut(after, " ")
	}
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		return result{code: "MALFORMED"}
	}
	switch word {
	case "BEGIN":
		if rest == "" && !t.isPrimary() {
			return result{code: "READONLY"}
		}
		s.inTx, s.readOnly, s.changes = true, rest == "READ", nil
	case "ROLLBACK":
		s.inTx, s.failed, s.changes = false, false, nil
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
	case "DEALLOC":
		delete(s.prepared, rest)
	case "DISCARD":
		clear(s.prepared)
		clear(s.values)
	case "PREPARE":
		name, definition, _ := strings.Cut(rest, " ")
		s.prepared[name] = definition
	case "COMMIT":
		return s.commit(id, text)
	case "READ", "WRITE", "EXEC":
		return s.data(id, text, word, rest)
	case "STATUS", "PAUSE", "UNPAUSE", "STEPDOWN":
		return result{row: t.control(word, rest), hasRow: true}
	default:
		return result{code: "MALFORMED"}
	}
	return result{}
}

func (t *target) isPrimary() bool {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	return t.primary
}

// reached reports whether the target has applied its log up to a position.
func (t *target) reached(text string) bool {
	term, number, _ := strings.Cut(text, ".")
	a, err1 := strconv.ParseUint(term, 10, 64)
	n, err2 := strconv.ParseUint(number, 10, 64)
	if err1 != nil || err2 != nil {
		return false
	}
	p := siskin.Position{Term: siskin.Term(a), LSN: siskin.LSN(n)}
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	for i := len(t.log) - 1; i >= 0; i-- {
		if c := &t.log[i]; c.pos == p {
			return t.applied(c)
		}
	}
	return false
}

// ran records that a statement of a client ran.
func (s *session) ran(id, text string) {
	g := s.t.g
	g.rec.logf("target %s runs %s %q for %s with values %v", s.t.id, id, text, s.customer, s.values)
	g.mu.Lock()
	defer g.mu.Unlock()
	s.t.runs = append(s.t.runs, statement{g.rec.now(), id, text, s.customer, maps.Clone(s.values)})
}

// occupy holds a slot for the time of a statement.
func (s *session) occupy() {
	s.t.slots <- struct{}{}
	time.Sleep(s.t.g.work)
	<-s.t.slots
}

func (s *session) data(id, text, word, rest string) result {
	t := s.t
	writes := word == "WRITE"
	if word == "EXEC" {
		name, args, _ := strings.Cut(rest, " ")
		definition, ok := s.prepared[name]
		if !ok {
			return result{code: "NOSTMT"}
		}
		writes, rest = strings.HasPrefix(definition, "WRITE "), args
	}
	item, data, _ := strings.Cut(rest, " ")
	plainTx := s.inTx && !s.readOnly
	if (writes || plainTx) && !t.isPrimary() || writes && s.readOnly && s.inTx {
		return result{code: "READONLY"}
	}
	s.ran(id, text)
	s.occupy()
	if plainTx && !t.isPrimary() {
		return result{code: "READONLY"}
	}
	signature := t.id + "." + id
	switch {
	case writes && s.inTx:
		s.changes = append(s.changes, change{item, data})
		return result{signature: signature}
	case writes:
		if _, ok := t.g.commit(t, []change{{item, data}}); !ok {
			return result{code: "FAILED"}
		}
		return result{signature: signature}
	}
	return result{row: t.read(item, s.changes), hasRow: true, signature: signature}
}

// read returns the newest data of an item.
func (t *target) read(item string, own []change) string {
	for i := len(own) - 1; i >= 0; i-- {
		if own[i].item == item {
			return own[i].data
		}
	}
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	for i := len(t.log) - 1; i >= 0; i-- {
		if !t.applied(&t.log[i]) {
			continue
		}
		for _, c := range t.log[i].changes {
			if c.item == item {
				return c.data
			}
		}
	}
	return "-"
}

func (s *session) commit(id, text string) result {
	if !s.inTx {
		return result{code: "MALFORMED"}
	}
	changes, failed, readOnly := s.changes, s.failed, s.readOnly
	s.inTx, s.failed, s.changes = false, false, nil
	switch {
	case failed:
		return result{code: "ABORTED"}
	case !readOnly && len(changes) > 0 && !s.t.isPrimary():
		return result{code: "READONLY"}
	}
	s.ran(id, text)
	s.occupy()
	if len(changes) > 0 {
		if _, ok := s.t.g.commit(s.t, changes); !ok {
			return result{code: "FAILED"}
		}
	}
	return result{signature: s.t.id + "." + id}
}

// control runs a control statement and returns the target's state.
func (t *target) control(word, rest string) string {
	g := t.g
	g.mu.Lock()
	defer g.mu.Unlock()
	n, _ := strconv.ParseUint(rest, 10, 64) // without a term it has no effect
	term := siskin.Term(n)
	var newest siskin.Term
	for _, o := range g.targets {
		newest = max(newest, o.term)
	}
	switch word {
	case "PAUSE":
		if !t.primary && term > t.term && term > t.held {
			t.held = term
		}
	case "UNPAUSE":
		t.held = 0
		g.replicate()
	case "STEPDOWN":
		if t.primary && term > t.term {
			t.primary = false
			g.cond.Broadcast()
		}
	}
	if word != "STATUS" {
		g.rec.logf("target %s gets %s %s", t.id, word, rest)
	}
	role := "replica"
	if t.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s %d %d %d %d", role, t.term, formatPosition(t.position()), t.held, t.lag.Milliseconds(), len(t.slots), len(t.conns))
}
