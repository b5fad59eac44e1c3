// Package load drives callers against VMs and judges what the callers saw.
//
// Arrivals are open-loop: each request has an intended start, and its latency
// counts from there, so that a stalled system does not slow the measurement
// down (no coordinated omission).
package load
