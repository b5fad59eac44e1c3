package quest

import (
	"fmt"
	"strings"

	"siskintray.example/siskin"
)

// Finding is one refused answer.
type Finding struct {
	File     string // empty for answers from a terminal
	Line     int    // 0 when the answer is missing
	Question string // number of the question, empty for a fault of the file
	Message  string
	Remedy   string

	place place
}

// String returns the finding on one line.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Question != "" {
		fmt.Fprintf(&b, "question %s: ", f.Question)
	}
	return b.String() + f.Message + "; " + f.Remedy
}

// Findings are all refused answers.
type Findings []Finding

// Err returns nil without findings, else an error of kind BadInput that lists
// them all, one a line.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return siskin.NewError(siskin.BadInput, "%s", strings.Join(lines, "\n"))
}

// at returns a finding about the answer at p.
func (f *Form) at(p place, message, remedy string) Finding {
	return Finding{File: f.File, Line: f.lines[p], Question: p.number(), Message: message, Remedy: remedy, place: p}
}
