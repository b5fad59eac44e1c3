package quota

// Receiver serves the remote calls of peers under the service name Quota.
type Receiver struct{ l *Limiter }

// Receiver returns the receiver to register.
func (l *Limiter) Receiver() *Receiver { return &Receiver{l} }
