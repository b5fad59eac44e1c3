package quest

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
)

// Option changes how Ask asks.
type Option func(*dialog)

// WithSecret sets the function that reads a line which is not shown while it is
// typed, such as a password. Without it all lines come from the reader.
func WithSecret(read func() (string, error)) Option {
	return func(d *dialog) { d.secret = read }
}

// dialog is the input and output of Ask.
type dialog struct {
	lines  *bufio.Scanner
	w      io.Writer
	secret func() (string, error)
}

// read returns the next line.
func (d *dialog) read(secret bool) (string, error) {
	if secret && d.secret != nil {
		line, err := d.secret()
		fmt.Fprintln(d.w) // the end of the line was not shown either
		return line, err
	}
	if !d.lines.Scan() {
		fmt.Fprintln(d.w)
		return "", cmp.Or(d.lines.Err(), io.EOF)
	}
	return d.lines.Text(), nil
}
