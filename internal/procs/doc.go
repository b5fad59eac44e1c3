// Package procs holds the soak of the real programs as separate processes on
// one machine. Faults come from outside of them: proxies between the processes,
// signals, and the stand-ins of the platform. While it runs it checks the
// promises to callers, from what callers and targets see.
//
// The clocks of the processes are the machine's. A pause by a signal makes them
// jump from the view of a process; a time of day that is set back is not
// played.
package procs
