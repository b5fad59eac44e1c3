package quest

// Form holds answers, checked or not.
type Form struct {
	File    string // name of the answers file, or ""
	answers [][]map[string]string
	lines   map[place]int // lines in File
}

// NewForm returns an empty form.
func NewForm() *Form {
	f := &Form{answers: make([][]map[string]string, len(groups)), lines: map[place]int{}}
	for i := range groups {
		for range groups[i].Min {
			f.answers[i] = append(f.answers[i], map[string]string{})
		}
	}
	return f
}

// applies reports whether the question at p is asked.
func (f *Form) applies(p place) bool {
	q := &groups[p.group].Questions[p.question]
	return q.When == nil || q.When(f.answers[p.group][p.rep])
}

// set records an answer; an empty answer stands for the default.
func (f *Form) set(p place, answer string) {
	q := &groups[p.group].Questions[p.question]
	if answer == "" {
		answer = q.Default
	}
	f.answers[p.group][p.rep][q.Key] = answer
}

func (f *Form) get(p place) string {
	return f.answers[p.group][p.rep][groups[p.group].Questions[p.question].Key]
}

// settle removes answers to questions that no longer apply, such as the
// OpenCustomer of a route that was closed again, and fills in defaults.
func (f *Form) settle() {
	f.each(func(p place) {
		key := groups[p.group].Questions[p.question].Key
		if !f.applies(p) {
			delete(f.answers[p.group][p.rep], key)
		} else if f.get(p) == "" {
			f.set(p, "")
		}
	})
}

// each visits all questions of all repetitions in order.
func (f *Form) each(visit func(p place)) {
	for g := range groups {
		for rep := range f.answers[g] {
			for q := range groups[g].Questions {
				visit(place{g, rep, q})
			}
		}
	}
}
