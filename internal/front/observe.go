package front

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/config"
)

// Observer receives each finished transaction. Its method must not block.
type Observer interface {
	ObserveTransaction(o Observation)
}

// Observation describes one finished transaction from the caller's point of
// view.
type Observation struct {
	Service  siskin.ServiceName
	Customer siskin.CustomerID
	Mode     config.RouteMode
	// Failed reports that the transaction ended with an error of the proxy,
	// whose kind is Kind.
	Failed bool
	Kind   siskin.ErrorKind
	// WithinRate reports, for a failure of kind RateExceeded, that the customer
	// was within its rate.
	WithinRate bool
	// Term is the term of the primary that acknowledged a write, or zero when
	// no write was acknowledged.
	Term siskin.Term
	// Latency is the time from the first message to the end of the answer.
	Latency time.Duration
	// ByReplica reports that a replica served the transaction.
	ByReplica bool
}

// observe reports the end of a transaction that began at the given time.
// Nothing is reported when the caller closed its connection.
func (c *session) observe(t *transaction, began time.Time, f *relay.Failure) {
	cfg := &c.srv.cfg
	if cfg.Observer == nil || (f != nil && f.CallerGone) {
		return
	}
	o := Observation{
		Service:   t.service.Name,
		Customer:  t.customer,
		Mode:      t.route.Mode,
		Latency:   cfg.Clock.Since(began),
		ByReplica: !t.atPrimary,
	}
	if o.Mode == config.WriteRoute && f == nil {
		o.Term = c.answer.term
	}
	if f != nil {
		o.Failed, o.Kind, o.WithinRate = true, f.Err.Kind, f.WithinRate
	}
	cfg.Observer.ObserveTransaction(o)
}
