package memory

// Bound is the bound that a reservation would exceed.
type Bound int

// Values of Bound.
const (
	// Total is the bound on all that is counted.
	Total Bound = iota
	// Customer is the bound on one customer.
	Customer
	// Unauthenticated is the bound on all clients that have not presented a valid key.
	Unauthenticated
	// Peers is the bound on messages between VMs.
	Peers
	// Sessions is the bound on the values and prepared statements of all sessions.
	Sessions
	// Connection is the bound on one connection.
	Connection
	bounds int = iota
)

var boundNames = [bounds]string{"Total", "Customer", "Unauthenticated", "Peers", "Sessions", "Connection"}

// String returns the name used in logs and metrics.
func (b Bound) String() string {
	if b < 0 || int(b) >= bounds {
		return "Total"
	}
	return boundNames[b]
}
