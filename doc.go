// Package siskin defines the ids, units, error kinds and interfaces that the
// packages of siskintray share.
//
// The package contains no logic beyond parsing and formatting. Everything that
// differs between a production VM, an embedding program and a test is an
// interface here; the implementations are in the packages of the subfolders.
package siskin
