package quest

import (
	"fmt"

	"siskintray.example/siskin"
)

// Session walks through the questionnaire one answer at a time. It has no input
// or output.
type Session struct {
	form    *Form
	now     place
	more    bool    // the present question is whether to repeat the group
	history []place // questions answered before, for the way back
	done    bool
}

// NewSession returns a session at the first question of an empty form.
func NewSession() *Session { return &Session{form: NewForm()} }

// Prompt is what to ask next.
type Prompt struct {
	Number  string
	Text    string
	Help    string
	Default string // present answer or default
	Title   string // set at the first question of a group
	Secret  bool   // the answer and the default are not shown
}

// Prompt returns the present question.
func (s *Session) Prompt() Prompt {
	g := &groups[s.now.group]
	if s.more {
		p := Prompt{Number: fmt.Sprintf("%d", s.now.group+1), Text: fmt.Sprintf("Is there another %s after %d? (yes or no)", g.Section, s.now.rep+1), Default: "no", Help: "Answer yes to describe another one."}
		if s.now.rep+1 < len(s.form.answers[s.now.group]) {
			p.Default = "yes"
		}
		return p
	}
	q := &g.Questions[s.now.question]
	p := Prompt{Number: s.now.number(), Text: q.Text, Help: q.Help, Default: s.form.get(s.now), Secret: q.Secret}
	if p.Default == "" {
		p.Default = q.Default
	}
	if s.now.question == 0 && s.now.rep == 0 {
		p.Title = g.Title
	}
	return p
}

// Progress returns the number of the present question and of all questions that
// are known to follow.
func (s *Session) Progress() (at, total int) {
	s.form.each(func(p place) {
		if s.form.applies(p) {
			total++
			if before(p, s.now) {
				at++
			}
		}
	})
	return min(at+1, total), total
}

func before(p, q place) bool {
	if p.group != q.group {
		return p.group < q.group
	}
	if p.rep != q.rep {
		return p.rep < q.rep
	}
	return p.question < q.question
}

// Answer checks and records an answer and goes on. An error names the question
// and the remedy, and the session stays where it is.
func (s *Session) Answer(answer string) error {
	if s.done {
		return siskin.NewError(siskin.BadInput, "all questions are answered").WithRemedy("go back to change an answer")
	}
	if s.more {
		return s.answerMore(answer)
	}
	q := &groups[s.now.group].Questions[s.now.question]
	if answer == "" {
		answer = s.Prompt().Default
	}
	if message, remedy := q.check(answer); message != "" {
		return siskin.NewError(siskin.BadInput, "question %s: %s", s.now.number(), message).WithRemedy(remedy)
	}
	s.form.set(s.now, answer)
	s.history = append(s.history, s.now)
	s.next()
	return nil
}

func (s *Session) answerMore(answer string) error {
	if answer == "" {
		answer = s.Prompt().Default
	}
	if message, remedy := yesNo(answer); message != "" {
		return siskin.NewError(siskin.BadInput, "question %d: %s", s.now.group+1, message).WithRemedy(remedy)
	}
	s.more = false
	reps := &s.form.answers[s.now.group]
	if answer == "no" {
		*reps = (*reps)[:s.now.rep+1]
		s.enter(place{s.now.group + 1, 0, 0})
		return nil
	}
	if s.now.rep+1 == len(*reps) {
		*reps = append(*reps, map[string]string{})
	}
	s.enter(place{s.now.group, s.now.rep + 1, 0})
	return nil
}

// next goes to the question after the present one.
func (s *Session) next() {
	g := &groups[s.now.group]
	p := s.now
	for p.question++; p.question < len(g.Questions); p.question++ {
		if s.form.applies(p) {
			s.now = p
			return
		}
	}
	switch {
	case s.now.rep+1 < g.Min:
		s.enter(place{s.now.group, s.now.rep + 1, 0})
	case s.now.rep+1 < g.Max:
		s.more = true
	default:
		s.enter(place{s.now.group + 1, 0, 0})
	}
}

func (s *Session) enter(p place) {
	if p.group == len(groups) {
		s.done = true
		return
	}
	s.now = p
}

// Back returns to the question answered before. It reports false at the first.
func (s *Session) Back() bool {
	if len(s.history) == 0 {
		return false
	}
	last := len(s.history) - 1
	s.now, s.more, s.done = s.history[last], false, false
	s.history = s.history[:last]
	return true
}

// Form returns the answers once all questions are answered.
func (s *Session) Form() (*Form, bool) {
	if !s.done {
		return nil, false
	}
	s.form.settle()
	return s.form, true
}

// reopen goes to the question of a finding, so that it is answered again.
func (s *Session) reopen(p place) {
	for i, h := range s.history {
		if !before(h, p) {
			s.history = s.history[:i]
			break
		}
	}
	s.now, s.more, s.done = p, false, false
}
