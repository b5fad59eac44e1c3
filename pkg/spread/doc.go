// Package spread keeps the configuration in force at a VM and brings accepted
// changes to every VM.
//
// A change is written as an object of its own and becomes current by one
// conditional update of the head object. Two VMs per data centre watch the
// head; they push new changes to the other VMs, which push them on. Each VM
// also asks one random peer every second for what it lacks (anti-entropy), so
// that a lost push or a platform that is down costs a second and no more.
//
// Changes are applied in the order of their revisions and without gaps, so a
// VM never goes back to an older revision and never shows a part of a change.
package spread
