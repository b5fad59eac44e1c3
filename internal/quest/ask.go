package quest

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Ask asks all questions on a terminal and returns the form and the change. A
// contradiction between answers reopens its question; earlier answers stand as
// defaults. When the input ends early nothing is returned.
func Ask(r io.Reader, w io.Writer, view config.View, opts ...Option) (*Form, *config.Change, error) {
	fmt.Fprint(w, "Type ? for help, < to go back, and press Enter to keep the value in brackets.\n")
	d := &dialog{lines: bufio.NewScanner(r), w: w}
	d.lines.Buffer(make([]byte, 0, maxAnswer), 4*maxAnswer)
	for _, opt := range opts {
		opt(d)
	}
	s := NewSession()
	for {
		if err := s.ask(d); err != nil {
			return nil, nil, err
		}
		form, _ := s.Form()
		change, found := Generate(view, form)
		if len(found) == 0 {
			return form, change, nil
		}
		for _, f := range found {
			fmt.Fprintf(w, "\n! %s\n", f)
		}
		if found[0].Question == "" {
			return nil, nil, found.Err()
		}
		s.reopen(found[0].place)
	}
}

// ask asks until the session is done.
func (s *Session) ask(d *dialog) error {
	w := d.w
	for !s.done {
		p := s.Prompt()
		if p.Title != "" && !s.more {
			fmt.Fprintf(w, "\n== %s\n", p.Title)
		}
		at, total := s.Progress()
		fmt.Fprintf(w, "[%d/%d] %s %s", at, total, p.Number, p.Text)
		switch {
		case p.Default != "" && p.Secret:
			fmt.Fprint(w, " [hidden]")
		case p.Default != "":
			fmt.Fprintf(w, " [%s]", p.Default)
		}
		fmt.Fprint(w, " ")
		line, err := d.read(p.Secret)
		if err != nil {
			ended := siskin.NewError(siskin.BadInput, "input ended at question %s", p.Number).WithRemedy("start again; nothing was written")
			if !errors.Is(err, io.EOF) {
				ended = ended.WithCause(err)
			}
			return ended
		}
		switch line {
		case "?":
			fmt.Fprintf(w, "  %s\n", p.Help)
		case "<":
			if !s.Back() {
				fmt.Fprintln(w, "  This is the first question.")
			}
		default:
			if err := s.Answer(line); err != nil {
				fmt.Fprintf(w, "  ! %v\n", err)
			}
		}
	}
	return nil
}
