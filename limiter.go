package siskin

import (
	"context"
	"time"
)

// Admission is the answer of a Limiter.
type Admission struct {
	Admitted bool
	// RetryAfter is the time after which the request would be admitted at the
	// present share. It is zero when Admitted.
	RetryAfter time.Duration
	// WithinRate says of a refusal that nothing shows the customer to be over
	// its rate: the limiter lacked units that it could not get.
	WithinRate bool
}

// Limiter admits requests within the rate and burst of their customer.
type Limiter interface {
	// Admit takes n requests from the customer's bucket, all or none.
	Admit(now time.Time, customer CustomerID, n Requests) Admission
	// AdmitWait is Admit after a short wait for units of other VMs, if need be.
	// It waits only while units can be expected.
	AdmitWait(ctx context.Context, customer CustomerID, n Requests) Admission
}

// Refunder is implemented by a Limiter that takes back what was admitted and
// never sent on.
type Refunder interface {
	Refund(customer CustomerID, n Requests)
}
