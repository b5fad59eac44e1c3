package siskin

// KeyGrant is the result of an authentication: the customer and the key that
// the caller presented.
type KeyGrant struct {
	Customer CustomerID
	Key      KeyID
}

// Authenticator authenticates callers.
type Authenticator interface {
	// Authenticate returns the grant of a key for a service. An error is of
	// kind KeyRefused or KeyWithdrawn and never contains the key.
	Authenticate(service ServiceName, key string) (KeyGrant, error)
	// Check returns an error of kind KeyWithdrawn or KeyRefused when the grant
	// is no longer valid for the service. It does not allocate on success.
	Check(service ServiceName, grant KeyGrant) error
}
