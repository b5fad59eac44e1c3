package config

// Credentials are the service's own account at its targets. Callers' keys are
// never sent to a target.
type Credentials struct {
	User     string
	Password string
	// ReadUser and ReadPassword are an account without write privileges. Read
	// routes use it, since a caller can override a read-only default.
	ReadUser     string
	ReadPassword string
	Database     string
}

// String omits the passwords, so that they are never logged.
func (c Credentials) String() string { return c.User + "@" + c.Database }
