// Package store is the state of one stand-in target without input or output:
// its log with a term in each record, its claim, its role and its table. The
// stand-in serves it over TCP; randomised tests drive it directly.
package store
