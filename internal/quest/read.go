package quest

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"siskintray.example/siskin/internal/cfgini"
)

// Read reads an answers file and checks each answer. With findings there is no
// form.
func Read(file string, data []byte) (*Form, Findings) {
	parsed, faults := cfgini.ParseFile(file, data)
	var found Findings
	for _, x := range faults {
		found = append(found, Finding{File: x.File, Line: x.Line, Message: x.Message, Remedy: x.Remedy})
	}
	if len(found) > 0 {
		return nil, found
	}
	r := &reader{form: NewForm(), file: parsed}
	r.form.File = file
	r.sections()
	r.check()
	if len(r.found) > 0 {
		slices.SortStableFunc(r.found, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
		return nil, r.found
	}
	r.form.settle()
	return r.form, nil
}

type reader struct {
	form  *Form
	file  *cfgini.File
	found Findings
}

func (r *reader) fault(line int, remedy, format string, args ...any) {
	r.found = append(r.found, Finding{File: r.file.Name, Line: line, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// sections takes the answers of all sections of the file.
func (r *reader) sections() {
	for _, s := range r.file.Sections {
		title, digits, numbered := strings.Cut(s.Name, ".")
		g := slices.IndexFunc(groups, func(g Group) bool { return g.Section == title })
		if g < 0 || numbered != groups[g].repeated() {
			r.fault(s.Line, "use "+r.known(title), "unknown section %s", s.Name)
			continue
		}
		rep := 0
		if numbered {
			n, err := strconv.Atoi(digits)
			if err != nil || n < 1 || n > groups[g].Max || digits != strconv.Itoa(n) {
				r.fault(s.Line, fmt.Sprintf("number the sections from %s.1 to at most %s.%d", title, title, groups[g].Max), "section %s has a wrong number", s.Name)
				continue
			}
			rep = n - 1
		}
		for len(r.form.answers[g]) <= rep {
			r.form.answers[g] = append(r.form.answers[g], map[string]string{})
		}
		r.entries(s, g, rep)
	}
}

func (r *reader) known(title string) string {
	var names []string
	for i := range groups {
		names = append(names, groups[i].Section)
	}
	if near := cfgini.Nearest(title, names); near != "" {
		names = []string{near}
	}
	for i, n := range names {
		g := slices.IndexFunc(groups, func(g Group) bool { return g.Section == n })
		names[i] = "[" + groups[g].section(0) + "]"
	}
	return strings.Join(names, ", ")
}

func (r *reader) entries(s *cfgini.Section, g, rep int) {
	var keys []string
	for _, q := range groups[g].Questions {
		keys = append(keys, q.Key)
	}
	for _, e := range s.Entries {
		q := groups[g].find(e.Key)
		if q < 0 {
			remedy := "use one of " + strings.Join(keys, ", ")
			if near := cfgini.Nearest(e.Key, keys); near != "" {
				remedy = "did you mean " + near + "?"
			}
			r.fault(e.Line, remedy, "unknown key %s in section %s", e.Key, s.Name)
			continue
		}
		p := place{g, rep, q}
		r.form.lines[p] = e.Line
		r.form.set(p, e.Value)
	}
}

// check checks each answer and finds missing and superfluous ones.
func (r *reader) check() {
	r.form.each(func(p place) {
		q := &groups[p.group].Questions[p.question]
		_, answered := r.form.lines[p]
		if !r.form.applies(p) {
			if answered && r.form.get(p) != "" {
				r.found = append(r.found, r.form.at(p, q.Key+" does not apply here and contradicts an earlier answer", "remove it or change the earlier answer"))
			}
			return
		}
		if r.form.get(p) == "" {
			r.form.set(p, "")
		}
		if message, remedy := q.check(r.form.get(p)); message != "" {
			section := groups[p.group].section(p.rep)
			r.found = append(r.found, r.form.at(p, section+"."+q.Key+": "+message, remedy))
		}
	})
}
