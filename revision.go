package siskin

// Revision is the number of an accepted configuration. It never decreases.
type Revision uint64
