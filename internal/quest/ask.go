package quest

import (
	"bufio"
	"fmt"
	"io"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Ask asks all questions on a terminal and returns the form and the change. A
// contradiction between answers reopens its question; earlier answers stand as
// defaults. When the input ends early nothing is returned.
func Ask(r io.Reader, w io.Writer, view config.View) (*Form, *config.Change, error) {
	fmt.Fprint(w, "Type ? for help, < to go back, and press Enter to keep the value in brackets.\n")
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxAnswer), 4*maxAnswer)
	s := NewSession()
	for {
		if err := s.ask(lines, w); err != nil {
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
func (s *Session) ask(lines *bufio.Scanner, w io.Writer) error {
	for !s.done {
		p := s.Prompt()
		if p.Title != "" && !s.more {
			fmt.Fprintf(w, "\n== %s\n", p.Title)
		}
		at, total := s.Progress()
		fmt.Fprintf(w, "[%d/%d] %s %s", at, total, p.Number, p.Text)
		if p.Default != "" {
			fmt.Fprintf(w, " [%s]", p.Default)
		}
		fmt.Fprint(w, " ")
		if !lines.Scan() {
			fmt.Fprintln(w)
			return siskin.NewError(siskin.BadInput, "input ended at question %s", p.Number).WithCause(lines.Err()).
				WithRemedy("start again; nothing was written")
		}
		switch line := lines.Text(); line {
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
