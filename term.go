package siskin

// Term is the number of a primary of a group. Every promotion uses a larger
// term.
type Term uint64
