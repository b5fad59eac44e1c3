package siskin

// Revision numbers the accepted configurations. It only grows.
type Revision uint64
