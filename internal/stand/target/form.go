package target

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

const (
	oidText = pgtype.TextOID
	oidInt4 = pgtype.Int4OID
	oidInt8 = pgtype.Int8OID
)

// form is one statement form: an anchored pattern whose groups are literals or
// parameters, and the function that runs it.
type form struct {
	pattern *regexp.Regexp
	// args are the types of the groups when they are parameters.
	args    []uint32
	columns []column
	// control says that the form is no part of a transaction: it begins none
	// and works while the primary drains.
	control bool
	// write says that the form changes the table; privileged that it needs the
	// full account.
	write, privileged bool
	run               func(c *session, args []string) (result, error)
}

// result is what one statement returns.
type result struct {
	tag  string
	rows [][]string
}

// statement is a parsed statement: a form with its arguments.
type statement struct {
	form   *form // nil for the empty query
	groups []string
	params []uint32 // types of $1, $2, ...
}

const (
	textArg = `('(?:[^']|'')*'|\$\d+)`
	intArg  = `(-?\d+|'-?\d+'|\$\d+)`
	fracArg = `(\d*\.?\d+|\$\d+)`
)

// pattern compiles a form's text: a space stands for any white space, TEXT, INT
// and FRAC for an argument, with an optional cast.
func pattern(text string) *regexp.Regexp {
	cast := `(?:::\w+)?`
	r := strings.NewReplacer(
		"TEXT", textArg+cast, "INT", intArg+cast, "FRAC", fracArg+cast,
		" ", `\s+`, "(", `\s*\(\s*`, ")", `\s*\)\s*`, ",", `\s*,\s*`, "=", `\s*=\s*`, "{", "(", "}", ")",
	)
	return regexp.MustCompile(`(?is)^` + strings.ReplaceAll(r.Replace(text), `\s*\s+`, `\s*`) + `\s*$`)
}

// parse finds the form of one statement.
func parse(sql string) (*statement, error) {
	parts := splitStatements(sql)
	if len(parts) == 0 {
		return &statement{}, nil
	}
	if len(parts) > 1 {
		return nil, &sqlError{stateSyntax, "cannot insert multiple commands into a prepared statement"}
	}
	for _, f := range forms {
		if groups := f.pattern.FindStringSubmatch(parts[0]); groups != nil {
			return newStatement(f, groups[1:])
		}
	}
	return nil, &sqlError{stateSyntax, "statement form is not known to the stand-in: " + parts[0]}
}

func newStatement(f *form, groups []string) (*statement, error) {
	s := &statement{form: f, groups: groups}
	for i, g := range groups {
		n, isParam := paramNumber(g)
		if !isParam || i >= len(f.args) {
			continue
		}
		if n < 1 || n > len(groups) {
			return nil, &sqlError{stateSyntax, "there is no parameter " + g}
		}
		for len(s.params) < n {
			s.params = append(s.params, oidText)
		}
		s.params[n-1] = f.args[i]
	}
	return s, nil
}

func paramNumber(group string) (int, bool) {
	if !strings.HasPrefix(group, "$") {
		return 0, false
	}
	n := 0
	for _, d := range group[1:] {
		n = min(n*10+int(d-'0'), 1000)
	}
	return n, true
}

// arguments returns the groups as text, with parameters filled in.
func (s *statement) arguments(params []string) ([]string, error) {
	args := make([]string, len(s.groups))
	for i, g := range s.groups {
		n, isParam := paramNumber(g)
		switch {
		case i >= len(s.form.args): // a keyword, not a value
			args[i] = g
		case isParam && n > len(params):
			return nil, &sqlError{stateProtocol, "there is no parameter " + g}
		case isParam:
			args[i] = params[n-1]
		case len(g) >= 2 && g[0] == '\'':
			args[i] = strings.ReplaceAll(g[1:len(g)-1], "''", "'")
		default:
			args[i] = g
		}
	}
	return args, nil
}
