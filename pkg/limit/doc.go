// Package limit admits requests within the rate and burst of their customer
// across a fleet, without a shared counter.
//
// The quota of a customer is siskin.TotalQuotaUnits units. A VM that holds
// some of them has a token bucket with the same part of the customer's rate
// and burst. The sum of the units never grows: they move between VMs by
// transfers that are permanent and idempotent, and are in no token bucket
// while in transit. Units of a VM that is gone are reclaimed by advancing the
// epoch of their hash bucket, for which every remaining holder reports its
// units once. Safety depends on neither clocks nor leases.
//
// The decisions are made in an unexported core that does no I/O. Limiter adds
// the calls to peers and to the platform.
package limit
