// Package limit admits requests within the rate and burst of their customer
// across a fleet, without a shared counter.
//
// Rights are conserved. A right is a number of units out of
// siskin.TotalQuotaUnits; its holder has a token bucket with that part of the
// customer's rate and burst. Units move between VMs by transfers that are
// permanent and idempotent, and are in no bucket while on the way. The units of
// a VM that is gone return by a change of the epoch of their hash bucket, for
// which every remaining holder reports its units once. No clock and no lease
// takes part in safety.
//
// The decisions are in an unexported core that does no input or output.
// Limiter adds the calls to peers and to the platform.
package limit
