// Package pgctl implements siskin.Target over the PostgreSQL protocol. It calls
// the control functions that docs/design.md lists with pgconn.
package pgctl
