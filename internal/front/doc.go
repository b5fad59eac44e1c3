// Package front accepts client connections with the PostgreSQL protocol and
// runs their sessions. It authenticates callers, checks keys, picks targets and
// retries batches that did not run; package relay runs the transactions.
package front
