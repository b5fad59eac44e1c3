// Package burn measures service-level objectives per service and per customer:
// availability with the failures by error kind, latency, the share of reads
// served by replicas, and the write gap of failovers. It reports burn rates over
// pairs of windows, the remaining error budget, and alerts with their reason.
//
// Counts are exact: each transaction is counted once, in the time bucket in
// which it ended. A window ends with the current bucket, so it is up to one
// bucket shorter than its nominal length. Time in which the VM did not run is
// not covered, and a window with low coverage is reported as incomplete, since
// its counts may miss failures.
package burn
