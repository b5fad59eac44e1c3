package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Env is what a command reads and writes.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Terminal       bool // standard error is a terminal
	Options        Options
}

// Options are the options of every command.
type Options struct {
	JSON  bool   `long:"json" description:"write JSON with names in Pascal case"`
	Admin string `long:"admin" env:"SISKINTRAY_ADMIN" value-name:"ADDRESS" default:"127.0.0.1:6480" description:"Admin.Address of a VM"`
	CA    string `long:"ca" env:"SISKINTRAY_CA" value-name:"FILE" description:"certificates that sign the VM's certificate; turns TLS on"`
	Cert  string `long:"cert" env:"SISKINTRAY_CERT" value-name:"FILE" description:"operator's certificate"`
	Key   string `long:"key" env:"SISKINTRAY_KEY" value-name:"FILE" description:"private key of the operator's certificate"`
}

// Progress writes a line about what is going on, on a terminal only.
func (e *Env) Progress(format string, args ...any) {
	if e.Terminal && !e.Options.JSON {
		fmt.Fprintf(e.Stderr, format+"\n", args...)
	}
}

// Output is the result of a command.
type Output struct {
	Value any    // for --json
	Text  string // without --json
	Exit  int
}

func (o Output) write(env *Env) error {
	if !env.Options.JSON {
		_, err := io.WriteString(env.Stdout, o.Text)
		return err
	}
	e := json.NewEncoder(env.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(o.Value)
}

// table returns rows with aligned columns; cells are separated by tabs.
func table(rows ...string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	w.Flush()
	return b.String()
}

func join[S ~string](list []S) string {
	parts := make([]string, len(list))
	for i, s := range list {
		parts[i] = string(s)
	}
	return strings.Join(parts, ", ")
}
