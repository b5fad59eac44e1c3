package procs

import (
	"fmt"

	"siskintray.example/siskin/platform/stand"
)

// call is one statement of a caller and its answer.
type call struct {
	session, word string
	// shape is the mode and the text that an EXEC was prepared with, args what
	// follows the word, or the name of an EXEC.
	shape, args string
	values      map[string]string // of the session; not changed later
	writes      bool
	tx          *callTx // nil outside of a transaction
	result      stand.Result
	answered    bool
}

// callTx is one transaction of a caller.
type callTx struct {
	calls  []*call
	commit *call // nil if the caller has not asked for it
}

// text returns the statement with the shape in place of the name of an EXEC.
func (c *call) text() string {
	r := stand.Record{Word: c.word, Shape: c.shape, Args: c.args}
	return r.Text()
}

func (c *call) succeeded() bool { return c.answered && c.result.Code == "" }

// promised reports whether the caller was told that nothing is kept.
func (c *call) promised() bool { return c.answered && c.result.NotApplied() }

// isForwarded reports whether targets run statements of this kind for callers.
func (c *call) isForwarded() bool {
	switch c.word {
	case "READ", "WRITE", "EXEC", "COMMIT":
		return true
	}
	return false
}

func (c *call) String() string {
	answer := "no answer"
	if c.answered {
		answer = fmt.Sprintf("%s%s %s, rows %s", c.result.Code, c.result.Signature, c.result.State, clip(c.result.Rows...))
	}
	return fmt.Sprintf("%s in session %s, request %s, answered with %s", clip(c.text()), c.session, c.result.Request, answer)
}

// clippedLength is the most of a text that a report shows, in bytes.
const clippedLength = 80

// clip returns the beginnings of texts, quoted.
func clip(texts ...string) string {
	var list []string
	for _, s := range texts {
		list = append(list, fmt.Sprintf("%q", s[:min(len(s), clippedLength)]))
	}
	return fmt.Sprint(list)
}
