package quest

import (
	"slices"
	"strconv"
	"strings"

	"siskintray.example/siskin/pkg/config"
)

// Generate makes one change out of the forms and checks it as a whole against
// the documents of view, which may be nil. With findings there is no change.
func Generate(view config.View, forms ...*Form) (*config.Change, Findings) {
	answers := make([]config.Answers, len(forms))
	for i, f := range forms {
		answers[i] = f.Answers()
	}
	change, faults := config.Generate(view, answers...)
	var found Findings
	for _, x := range faults {
		found = append(found, locate(forms, x))
	}
	return change, found
}

// locate finds the question that led to a finding about a document.
func locate(forms []*Form, x config.Finding) Finding {
	parts := strings.SplitN(x.Place, "/", 3)
	if len(parts) == 3 {
		for i := len(forms) - 1; i >= 0; i-- {
			if p, ok := forms[i].locate(parts[0], parts[1], parts[2]); ok {
				return forms[i].at(p, x.Message, x.Remedy)
			}
		}
	}
	return Finding{Message: x.Place + ": " + x.Message, Remedy: x.Remedy}
}

// locate maps a field of a document, such as "Targets/0/Address", to a question
// of the form.
func (f *Form) locate(document, id, field string) (place, bool) {
	key, rest, _ := strings.Cut(field, "/")
	if document == "Customer" {
		// The last one, since a repeated customer contradicts the first.
		for rep, c := range slices.Backward(f.answers[4]) {
			if c["ID"] == id {
				return find(4, rep, key), true
			}
		}
		return place{}, false
	}
	if document != "Service" || f.answers[0][0]["Name"] != id {
		return place{}, false
	}
	index, sub, _ := strings.Cut(rest, "/")
	rep, err := strconv.Atoi(index)
	switch {
	case key == "Credentials":
		return find(1, 0, rest), true
	case key == "Targets" && err == nil && sub == "ID": // derived from the name
		return find(0, 0, "Name"), true
	case key == "Targets" && err == nil && rep < len(f.answers[2]):
		return find(2, rep, sub), true
	case key == "Targets":
		return find(2, 0, ""), true
	case key == "Routes" && err == nil && rep < len(f.answers[3]):
		return find(3, rep, sub), true
	case key == "Routes":
		return find(3, 0, ""), true
	}
	return find(0, 0, key), true
}

// find returns the place of a key, or of the first question of its group.
func find(group, rep int, key string) place {
	return place{group, rep, max(groups[group].find(key), 0)}
}
