package siskin

// Term numbers the primaries of a group. Every promotion uses a larger term.
type Term uint64
