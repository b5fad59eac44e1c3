// Package lateness detects that a process gets too little processor time. Its
// timers fire and its goroutines start late then, whatever the cause: load,
// throttling, or other processes on the machine.
package lateness
