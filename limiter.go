package siskin

import (
	"context"
	"time"
)

// Admission is the decision of a Limiter.
type Admission struct {
	Admitted bool
	// RetryAfter is the time after which the request would be admitted at the
	// current share. It is zero if Admitted, or if no time is of use.
	RetryAfter time.Duration
	// WithinRate is true if the request was rejected without evidence that the
	// customer exceeded its rate: the limiter lacked quota and could not obtain
	// it from other VMs.
	WithinRate bool
}

// Limiter admits requests within the rate and burst of their customer.
type Limiter interface {
	// Admit takes n requests from the customer's token bucket, all or none.
	Admit(now time.Time, customer CustomerID, n Requests) Admission
	// AdmitWait is like Admit, but waits briefly for quota from other VMs if
	// necessary. It waits only while more quota can be expected.
	AdmitWait(ctx context.Context, customer CustomerID, n Requests) Admission
}

// AdmissionRequest asks for the admission of one request.
type AdmissionRequest struct {
	Customer CustomerID
	// Class orders the requests of a customer that is short of quota.
	Class PriorityClass
	// Wait is how long the request can wait for quota, and Useful the time after
	// which its return is of no use to the caller.
	Wait, Useful time.Duration
}

// ClassLimiter is implemented by a Limiter that knows priority classes.
type ClassLimiter interface {
	// AdmitClass is like AdmitWait for one request. While the customer is short
	// of quota, more urgent requests get it first.
	AdmitClass(ctx context.Context, req AdmissionRequest) Admission
}

// Refunder is implemented by a Limiter that can refund requests that were
// admitted but never forwarded.
type Refunder interface {
	Refund(customer CustomerID, n Requests)
}
