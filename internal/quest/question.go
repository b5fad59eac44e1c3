package quest

import "fmt"

// Question is one question of the questionnaire.
type Question struct {
	Key  string // key in the answers file
	Text string
	Help string
	// Default is the answer that an empty line stands for. Questions without a
	// default must be answered unless Optional.
	Default  string
	Optional bool
	// Secret says that the answer is not shown.
	Secret bool
	// When, if set, says whether the question applies, given the earlier
	// answers of the same section.
	When func(answers map[string]string) bool

	kind kind
}

// Group is a list of questions about one thing.
type Group struct {
	Section   string // section in the answers file, without a number
	Title     string
	Questions []Question
	// Min and Max bound the number of repetitions. A group with Max 1 is asked
	// once and its section has no number.
	Min, Max int
}

// repeated reports whether the group has numbered sections.
func (g *Group) repeated() bool { return g.Max > 1 }

// section returns the name of the section of repetition rep, counted from 0.
func (g *Group) section(rep int) string {
	if !g.repeated() {
		return g.Section
	}
	return fmt.Sprintf("%s.%d", g.Section, rep+1)
}

func (g *Group) find(key string) int {
	for i := range g.Questions {
		if g.Questions[i].Key == key {
			return i
		}
	}
	return -1
}

// place is one question of one repetition.
type place struct{ group, rep, question int }

// number returns the question's number, such as "3.2" or "3.2 (Target 1)".
func (p place) number() string {
	g := &groups[p.group]
	n := fmt.Sprintf("%d.%d", p.group+1, p.question+1)
	if g.repeated() {
		n += fmt.Sprintf(" (%s %d)", g.Section, p.rep+1)
	}
	return n
}
