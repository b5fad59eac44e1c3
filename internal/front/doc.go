// Package front accepts callers with the PostgreSQL protocol and runs their
// sessions. It authenticates, checks keys, picks targets and repeats work that
// did not run; package relay runs the transactions.
package front
