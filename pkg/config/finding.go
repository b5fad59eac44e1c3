package config

import (
	"fmt"
	"strings"

	"siskintray.example/siskin"
)

// basePlace is the place of findings about the base of a change.
const basePlace = "Change/Base"

// Finding is one error in a change.
type Finding struct {
	// Place names the document and the field, such as
	// "Service/ledger-a/Targets/0/Address".
	Place   string
	Message string
	Remedy  string
}

// String returns the finding on one line.
func (f Finding) String() string {
	return f.Place + ": " + f.Message + "; " + f.Remedy
}

// Findings are all errors in a change.
type Findings []Finding

// IsConflict reports whether the only findings are documents that another
// operator changed after the base of the change.
func (fs Findings) IsConflict() bool {
	for _, f := range fs {
		if f.Place != basePlace {
			return false
		}
	}
	return len(fs) > 0
}

// Err returns nil if there are no findings, otherwise an InvalidError that lists
// them, one per line. Its kind is Conflict if IsConflict, otherwise BadInput.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	kind := siskin.BadInput
	if fs.IsConflict() {
		kind = siskin.Conflict
	}
	return &InvalidError{Findings: fs, err: siskin.NewError(kind, "%s", strings.Join(lines, "\n"))}
}

// InvalidError is the error of a change that has findings.
type InvalidError struct {
	Findings Findings
	err      *siskin.Error
}

// Error returns the findings, one per line.
func (e *InvalidError) Error() string { return e.err.Error() }

// Unwrap returns the error with its kind.
func (e *InvalidError) Unwrap() error { return e.err }

// report collects the findings of a change. Its document is the one that is
// being checked.
type report struct {
	document string
	found    Findings
}

func (r *report) add(field, remedy, format string, args ...any) {
	place := r.document
	if field != "" {
		place += "/" + field
	}
	r.found = append(r.found, Finding{Place: place, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// quote quotes and truncates untrusted text for a message.
func quote[S ~string](s S) string {
	if len(s) > 60 {
		return fmt.Sprintf("%q", strings.ToValidUTF8(string(s[:60]), "")+"...")
	}
	return fmt.Sprintf("%q", string(s))
}
