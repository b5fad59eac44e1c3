// Package memory counts the memory that callers, other VMs and targets make a VM
// hold: messages that arrive, wait and are sent on, and answers on their way back.
// An Account decides who may hold how much, a Hold is what one connection holds.
// A Share may also be used without a Hold. All are safe for concurrent use, and a nil Account has no limit.
package memory
