package config

import "siskintray.example/siskin"

// Key is one key of a customer. The key itself is not stored.
type Key struct {
	ID siskin.KeyID
	// Digest is the SHA-256 digest of the key in hexadecimal.
	Digest string
	// Withdrawn ends the key for good; a withdrawn key is never granted again.
	Withdrawn bool
}
