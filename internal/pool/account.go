package pool

import "siskintray.example/siskin/pkg/config"

// Account is one of a service's two accounts at its targets.
type Account int

// Accounts of a service.
const (
	// Full may write.
	Full Account = iota
	// ReadOnly may not write, whatever the caller's statements say.
	ReadOnly

	numAccounts = 2
)

// AccountFor returns the account that transactions of a route use.
func AccountFor(mode config.RouteMode) Account {
	if mode == config.WriteRoute {
		return Full
	}
	return ReadOnly
}

// String returns the account's name as it appears in metrics.
func (a Account) String() string {
	if a == Full {
		return "Full"
	}
	return "ReadOnly"
}
