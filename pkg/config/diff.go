package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Action is the kind of difference of a document or field.
type Action string

// Actions of a difference.
const (
	Added   Action = "Added"
	Removed Action = "Removed"
	Changed Action = "Changed"
)

// Difference lists the documents that differ between two configurations.
type Difference struct {
	Documents []DocumentDifference
}

// DocumentDifference lists the fields of one document that differ.
type DocumentDifference struct {
	Document string // such as "Service/ledger-a"
	Action   Action
	Fields   []FieldDifference
}

// FieldDifference is one field that differs. Passwords and digests are hidden.
type FieldDifference struct {
	Field    string // such as "Targets[ledger-a/1].Address"
	Action   Action
	Old, New string `json:",omitempty"`
}

// Diff returns the difference between two configurations. Revisions are not
// compared.
func Diff(before, after View) *Difference {
	d := &Difference{}
	for _, name := range union(before.Services(), after.Services()) {
		x, _ := before.Service(name)
		y, _ := after.Service(name)
		if x != y {
			d.compare("Service/"+string(name), x != nil, y != nil, x, y)
		}
	}
	for _, id := range union(before.Customers(), after.Customers()) {
		x, _ := before.Customer(id)
		y, _ := after.Customer(id)
		if x != y {
			d.compare("Customer/"+string(id), x != nil, y != nil, x, y)
		}
	}
	return d
}

// IsEmpty reports whether nothing differs.
func (d *Difference) IsEmpty() bool { return len(d.Documents) == 0 }

// Text returns the difference in readable form: one line per document, followed
// by one indented line per field.
func (d *Difference) Text() string {
	if d.IsEmpty() {
		return "no difference\n"
	}
	signs := map[Action]string{Added: "+", Removed: "-", Changed: "~"}
	var b strings.Builder
	for _, doc := range d.Documents {
		fmt.Fprintf(&b, "%s %s\n", signs[doc.Action], doc.Document)
		for _, f := range doc.Fields {
			switch f.Action {
			case Added:
				fmt.Fprintf(&b, "    + %s: %s\n", f.Field, f.New)
			case Removed:
				fmt.Fprintf(&b, "    - %s: %s\n", f.Field, f.Old)
			default:
				fmt.Fprintf(&b, "    ~ %s: %s -> %s\n", f.Field, f.Old, f.New)
			}
		}
	}
	return b.String()
}

func (d *Difference) compare(document string, before, after bool, x, y any) {
	doc := DocumentDifference{Document: document, Action: Changed}
	var old, next map[string]field
	if before {
		old = flatten(x)
	}
	if after {
		next = flatten(y)
	}
	switch {
	case !before:
		doc.Action = Added
	case !after:
		doc.Action = Removed
	}
	for _, path := range union(keysOf(old), keysOf(next)) {
		o, inOld := old[path]
		n, inNext := next[path]
		f := FieldDifference{Field: path, Action: Changed, Old: o.display, New: n.display}
		switch {
		case o.value == n.value, isEmpty(o.value) && isEmpty(n.value):
			continue
		case !inOld:
			f.Action = Added
		case !inNext:
			f.Action = Removed
		}
		doc.Fields = append(doc.Fields, f)
	}
	if doc.Action != Changed || len(doc.Fields) > 0 {
		d.Documents = append(d.Documents, doc)
	}
}

// field is the text of one field, for comparison and for display.
type field struct{ value, display string }

// isEmpty reports whether a field is omitted when its document or element is
// added or removed.
func isEmpty(value string) bool { return value == "" || value == "false" }

// flatten returns the fields of a document by path.
func flatten(document any) map[string]field {
	fields := map[string]field{}
	data, err := json.Marshal(document)
	if err != nil { // a document with a number that JSON cannot represent
		fields["Document"] = field{fmt.Sprint(document), "(not JSON)"}
		return fields
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return fields
	}
	delete(tree, "Revision")
	flattenNode(fields, "", tree)
	return fields
}

func flattenNode(fields map[string]field, path string, node any) {
	switch n := node.(type) {
	case map[string]any:
		for key, value := range n {
			sub := key
			if path != "" {
				sub = path + "." + key
			}
			flattenNode(fields, sub, value)
		}
	case []any:
		for i, value := range n {
			flattenNode(fields, fmt.Sprintf("%s[%s]", path, elementName(value, i)), value)
		}
	case nil:
	default:
		f := field{value: fmt.Sprint(n), display: fmt.Sprint(n)}
		if strings.HasSuffix(path, "Password") || strings.HasSuffix(path, "Digest") {
			f.display = "(hidden)"
		}
		fields[path] = f
	}
}

// elementName identifies a list element by its ID, name or text, so that an
// insertion does not show all later elements as changed.
func elementName(value any, i int) string {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range []string{"ID", "Name"} {
			if name, ok := v[key].(string); ok && name != "" {
				return name
			}
		}
	case string:
		return v
	}
	return fmt.Sprint(i)
}

func keysOf[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	return names
}

// union returns the sorted names of both lists without duplicates.
func union[K ~string](a, b []K) []K {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
