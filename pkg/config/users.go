package config

// user is the place in a change that uses a value.
type user struct{ document, field, what string }

// users maps values that must be unique to the place in the change that uses
// them. It holds the values of the change only, so that the scan over all other
// documents allocates nothing.
type users[K comparable] map[K]user

// add records a value of the change.
func (u users[K]) add(r *report, key K, field, what string) {
	if other, ok := u[key]; ok {
		r.taken(field, what, other.document)
		return
	}
	u[key] = user{r.document, field, what}
}

// find reports a value of another document that the change uses.
func (u users[K]) find(r *report, key K, kind, name string) {
	if mine, ok := u[key]; ok {
		r.document = mine.document
		r.taken(mine.field, mine.what, kind+name)
	}
}

func (r *report) taken(field, what, other string) {
	r.add(field, "use another one here or remove it there", "%s is already used by %s", what, other)
}
