// Package burn measures service-level objectives per service and per customer:
// availability by refusal kind, latency, the share of reads that replicas serve
// and the write gap of failovers. It reports burn rates over pairs of windows,
// the error budget left, and alerts with their reason.
//
// Counts are exact: each transaction is counted once, in the time bucket in
// which it ended. A window ends with the present bucket, so it is up to one
// bucket shorter than its name says. Time in which the VM did not run is not
// covered, and a window with little coverage is reported as such instead of as
// a good record.
package burn
