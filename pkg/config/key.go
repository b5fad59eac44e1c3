package config

import "siskintray.example/siskin"

// Key is one key of a customer. Only its digest is stored, not the key itself.
type Key struct {
	ID siskin.KeyID
	// Digest is the SHA-256 digest of the key in hexadecimal.
	Digest string
	// Withdrawn revokes the key permanently; a withdrawn key is never granted
	// again.
	Withdrawn bool
}
