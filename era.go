package siskin

// Era counts how often the platform's store has returned from an older copy.
// Such a store has lost its latest writes, and gives out their versions again
// for other ones.
type Era uint64
