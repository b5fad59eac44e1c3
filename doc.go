// Package siskin defines the ids, units, error kinds and interfaces that the
// packages of siskintray share.
//
// The package holds no behavior of its own beyond parsing and formatting.
// Everything that varies between a running VM, an embedding program and a test
// is an interface here; the implementations are in the packages below it.
package siskin
