package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/internal/stand/store"
)

// history is what callers saw. Each session writes the numbers 1, 2, 3 and so
// on to a key of its own, so that the newest of two values is known.
type history struct {
	mu     sync.Mutex
	writes map[string][]load.Outcome // by key; write n is at n-1
	shown  map[string]shown          // by key, the latest acknowledged write
	reads  int
	faults []string
}

// shown is an acknowledged write with the token that came with it.
type shown struct {
	n     int
	token string
}

func newHistory() *history {
	return &history{writes: make(map[string][]load.Outcome), shown: make(map[string]shown)}
}

// wrote records the result of the next write to a key.
func (h *history) wrote(key string, o load.Outcome, token string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes[key] = append(h.writes[key], o)
	if o == load.Acknowledged {
		h.shown[key] = shown{len(h.writes[key]), token}
	}
}

// latest returns the latest acknowledged write of a key.
func (h *history) latest(key string) shown {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shown[key]
}

// read checks the value of a key that was read with a token at least as new as
// that of write least.
func (h *history) read(who, key, value string, least int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads++
	n, _ := strconv.Atoi(value) // 0 for a missing value
	switch {
	case n < least:
		h.faults = append(h.faults, fmt.Sprintf("%s read %d of %s after write %d was acknowledged", who, n, key, least))
	case n > 0 && n <= len(h.writes[key]) && h.writes[key][n-1].IsNotRun():
		h.faults = append(h.faults, fmt.Sprintf("%s read %d of %s, which was refused as %s", who, n, key, h.writes[key][n-1]))
	}
}

// check compares the results of the writes with the log of the last primary.
func (h *history) check(log []store.Record) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.faults
	type run struct {
		term siskin.Term
		n    int
	}
	ran, newest := make(map[string]bool), make(map[string]run)
	term := siskin.Term(0)
	for _, r := range log {
		if r.Term < term {
			found = append(found, fmt.Sprintf("the log has term %d after %d", r.Term, term))
		}
		term = r.Term
		for _, op := range r.Ops {
			n, _ := strconv.Atoi(op.Value)
			id := op.Key + "=" + op.Value
			if ran[id] {
				found = append(found, id+" ran twice")
			}
			ran[id] = true
			// In one term, a write of unknown outcome may still run while the
			// next one does. A later primary must not run it.
			if last := newest[op.Key]; n < last.n && r.Term > last.term {
				found = append(found, fmt.Sprintf("%s ran in term %d, after %d ran in term %d", id, r.Term, last.n, last.term))
			} else if n > last.n {
				newest[op.Key] = run{r.Term, n}
			}
		}
	}
	for key, writes := range h.writes {
		for i, o := range writes {
			id := key + "=" + strconv.Itoa(i+1)
			switch {
			case o == load.Acknowledged && !ran[id]:
				found = append(found, id+" was acknowledged and is not in the log")
			case o.IsNotRun() && ran[id]:
				found = append(found, fmt.Sprintf("%s was refused as %s and is in the log", id, o))
			}
		}
	}
	return found
}

// String returns the number of results by kind.
func (h *history) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[load.Outcome]int)
	for _, writes := range h.writes {
		for _, o := range writes {
			counts[o]++
		}
	}
	return fmt.Sprintf("writes %v, %d reads", strings.TrimPrefix(fmt.Sprint(counts), "map"), h.reads)
}
