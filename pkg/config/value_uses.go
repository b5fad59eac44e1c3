package config

// valueUse is the place in a change that uses a value.
type valueUse struct{ document, field, description string }

// valueUses maps values that must be unique to the place in the change that uses
// them. It holds only the values of the change, so that the scan of all other
// documents does not allocate.
type valueUses[K comparable] map[K]valueUse

// add records a value of the change and reports a second use in the change.
func (u valueUses[K]) add(r *report, key K, field, description string) {
	if other, ok := u[key]; ok {
		r.addDuplicate(field, description, other.document)
		return
	}
	u[key] = valueUse{r.document, field, description}
}

// check reports a value of the change that another document already uses.
func (u valueUses[K]) check(r *report, key K, kind, name string) {
	if use, ok := u[key]; ok {
		r.document = use.document
		r.addDuplicate(use.field, use.description, kind+name)
	}
}

func (r *report) addDuplicate(field, description, other string) {
	r.add(field, "use another one here or remove it there", "%s is already used by %s", description, other)
}
