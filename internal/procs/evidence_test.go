package procs

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"siskintray.example/siskin/platform/stand"
)

// customer is the one that all hostile callers belong to.
const customer = "acme"

// targetTx identifies a transaction at a target.
type targetTx struct {
	target   string
	conn, tx int64
}

// evidence compares the calls of callers with what the targets ran.
type evidence struct {
	v       *violations
	primary *stand.Target
	calls   []*call
	sent    map[string]*call           // by request
	ran     map[string][]*stand.Record // by request
	records []stand.Record
	txs     map[targetTx][]*stand.Record
	// reruns counts first statements of transactions that ran again elsewhere.
	reruns int
}

func newEvidence(v *violations, primary *stand.Target, calls []*call, records []stand.Record) *evidence {
	e := &evidence{
		v: v, primary: primary, calls: calls, records: records, sent: make(map[string]*call),
		ran: make(map[string][]*stand.Record), txs: make(map[targetTx][]*stand.Record),
	}
	for _, c := range calls {
		if e.sent[c.result.Request] != nil {
			v.t.Fatalf("request %s: got two calls with this id", c.result.Request)
		}
		e.sent[c.result.Request] = c
	}
	for i := range records {
		r := &records[i]
		e.ran[r.Request] = append(e.ran[r.Request], r)
		if r.Tx != 0 {
			id := targetTx{string(r.Target), r.Conn, r.Tx}
			e.txs[id] = append(e.txs[id], r)
		}
	}
	return e
}

func (e *evidence) check() {
	for i := range e.records {
		e.checkRecord(&e.records[i])
	}
	for id, list := range e.txs {
		e.checkTx(id, list)
	}
	seen := make(map[*callTx]bool)
	for _, c := range e.calls {
		e.checkAnswer(c)
		switch {
		case c.tx == nil && c.writes:
			e.checkWrites([]*call{c}, c)
		case c.tx != nil && !seen[c.tx]:
			seen[c.tx] = true
			e.checkPlace(c.tx)
			e.checkWrites(c.tx.calls, c.tx.commit)
		}
	}
}

// isProbe reports whether a statement is one of fleet.serves.
func isProbe(r *stand.Record) bool {
	return r.Word == "READ" && r.Args == "probe" || r.Word == "WRITE" && strings.HasPrefix(r.Args, "probe vm-")
}

// checkRecord checks that a caller sent what a target ran, and that the session was
// as the caller had set it up.
func (e *evidence) checkRecord(r *stand.Record) {
	c := e.sent[r.Request]
	switch {
	case c == nil && isProbe(r):
		return
	case c == nil:
		e.v.add("UNASKED", "%s ran %s with id %s, which no caller sent", r.Target, clip(r.Text()), r.Request)
		return
	case r.Word != c.word || r.Args != c.args || r.Shape != c.shape:
		e.v.add("UNASKED", "%s ran %s, want %v", r.Target, clip(r.Text()), c)
	case r.Customer != customer:
		e.v.add("UNASKED", "%s ran %v for customer %q, want %s", r.Target, c, r.Customer, customer)
	}
	if c.word == "EXEC" && r.Word == "EXEC" && r.Shape != c.shape {
		e.v.add("PINNED", "%s ran the shape %s, want that of %v", r.Target, clip(r.Shape), c)
	}
	if !maps.Equal(r.Values, c.values) && c.word != "COMMIT" {
		e.v.add("PINNED", "%s ran %v with values %s, want %s", r.Target, c, clipValues(r.Values), clipValues(c.values))
	}
}

func clipValues(values map[string]string) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		list = append(list, name+"="+clip(values[name]))
	}
	return fmt.Sprint(list)
}

// checkTx checks that a transaction at a target has the statements of one
// transaction of a caller alone, or a single one.
func (e *evidence) checkTx(id targetTx, list []*stand.Record) {
	first := e.sent[list[0].Request]
	for _, r := range list {
		c := e.sent[r.Request]
		if c == nil || first == nil {
			continue // reported as UNASKED
		}
		if c.tx != first.tx || c.tx == nil && c != first {
			e.v.add("PINNED", "transaction %v has %v and %v, want one transaction of one caller", id, first, c)
			if r.Word == "COMMIT" {
				e.v.add("UNASKED", "transaction %v with %v was committed by %v", id, first, c)
			}
		}
	}
}

// checkPlace checks that all statements of a transaction ran in one at a target. The
// first one may run again in another, with those after it, if the answer to its
// first run was lost: nothing of that run is kept.
func (e *evidence) checkPlace(tx *callTx) {
	var first *call
	places := make(map[targetTx]bool) // of the statements after the first
	reruns := make(map[targetTx]bool) // of the first
	kept := false
	var list []string
	for _, c := range tx.calls {
		list = append(list, c.String())
		for _, r := range e.ran[c.result.Request] {
			place := targetTx{string(r.Target), r.Conn, r.Tx}
			list = append(list, fmt.Sprintf("ran %s in %v, %s", clip(r.Text()), place, r.Code+r.Signature))
			if r.Tx == 0 {
				e.v.add("PINNED", "%v ran in %v, want it in a transaction", c, place)
			}
			if first == nil {
				first = c
			}
			if c == first {
				reruns[place] = true
				kept = kept || r.Kept && c.word == "COMMIT"
			} else {
				places[place] = true
			}
		}
	}
	elsewhere := len(places) > 0 && !reruns[anyKey(places)]
	if len(places) > 1 || elsewhere || len(reruns) > 1 && kept {
		e.v.add("PINNED", "got a transaction in several places, want 1:\n%s", strings.Join(list, "\n"))
	}
	e.reruns += max(0, len(reruns)-1)
}

// anyKey returns a key of a map that is not empty.
func anyKey(m map[targetTx]bool) targetTx {
	for k := range m {
		return k
	}
	return targetTx{}
}

// checkAnswer checks that a success is that of just this statement.
func (e *evidence) checkAnswer(c *call) {
	if !c.succeeded() {
		return
	}
	if !c.isForwarded() {
		if c.result.Signature != "-" || len(c.result.Rows) > 0 {
			e.v.add("MIXED", "%v, want no signature and no rows", c)
		}
		return
	}
	list := e.ran[c.result.Request]
	if !slices.ContainsFunc(list, func(r *stand.Record) bool {
		return r.Code == "" && r.Signature == c.result.Signature && slices.Equal(r.Rows, c.result.Rows)
	}) {
		var want []string
		for _, r := range list {
			want = append(want, r.Code+r.Signature+" "+clip(r.Rows...))
		}
		e.v.add("MIXED", "%v, want one of %s", c, want)
	}
}

// checkWrites checks what is kept of the writes of one operation, which ends with
// the call last. It is nil if the caller has not asked for a commit.
func (e *evidence) checkWrites(calls []*call, last *call) {
	promised := slices.ContainsFunc(calls, (*call).promised)
	for _, c := range calls {
		if !c.writes {
			continue
		}
		kept := 0
		for _, r := range e.ran[c.result.Request] {
			if r.Kept && r.Writes {
				kept++
			}
		}
		switch {
		case kept > 1:
			e.v.add("TWICE", "%v is kept %d times", c, kept)
		case kept > 0 && promised:
			e.v.add("REFUSED", "%v is kept, ended by %v", c, last)
		case kept > 0 && last == nil:
			e.v.add("UNASKED", "%v is kept, but no caller asked for the commit", c)
		case c.succeeded() && last != nil && last.succeeded():
			e.checkKept(c, last, kept)
		}
	}
}

// checkKept checks an acknowledged write.
func (e *evidence) checkKept(c, last *call, kept int) {
	item, data, _ := strings.Cut(c.args, " ")
	if got := e.primary.Count(item, data); got != 1 || kept != 1 {
		e.v.add("LOST", "%v is acknowledged by %v: got it kept %d times, and its data %d times in the log, want 1", c, last, kept, got)
	}
}
