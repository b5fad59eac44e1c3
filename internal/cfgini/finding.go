package cfgini

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"siskintray.example/siskin"
)

// Finding is one error in a settings file.
type Finding struct {
	File    string
	Line    int // 0 when the error has no line, such as a missing section
	Message string
	Remedy  string
}

// String returns the finding on one line, starting with file and line.
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return fmt.Sprintf("%s: %s; %s", place, f.Message, f.Remedy)
}

// Findings are all errors in a settings file.
type Findings []Finding

// Err returns nil if there are no findings, otherwise an error of kind BadInput
// that lists them, one per line.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	slices.SortStableFunc(fs, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return siskin.NewError(siskin.BadInput, "%s", strings.Join(lines, "\n"))
}

func (fs *Findings) add(file string, line int, remedy, format string, args ...any) {
	*fs = append(*fs, Finding{File: file, Line: line, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}
