package keys

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"strings"
)

// Leak is the form in which a key was found in recorded bytes.
type Leak string

// Forms of a leaked key.
const (
	NoLeak     Leak = ""
	LeakPlain  Leak = "Plain"
	LeakHex    Leak = "Hex"
	LeakBase64 Leak = "Base64"
	LeakDigest Leak = "Digest"
)

// Scan searches recorded bytes, such as log files, error messages or the
// traffic of a target connection, for a key: as text regardless of case, in
// hexadecimal, in base 64 at any offset, and as its digest. It is intended for
// tests and for operators who search their logs.
func Scan(recorded []byte, key string) Leak {
	lower := bytes.ToLower(recorded)
	d := digestOf(key)
	switch {
	case bytes.Contains(lower, []byte(strings.ToLower(key))):
		return LeakPlain
	case bytes.Contains(lower, []byte(hex.EncodeToString([]byte(key)))):
		return LeakHex
	case bytes.Contains(recorded, d[:]) || bytes.Contains(lower, []byte(Digest(key))):
		return LeakDigest
	}
	for offset := range 3 {
		if containsBase64(recorded, key, offset) {
			return LeakBase64
		}
	}
	return NoLeak
}

// containsBase64 searches for the part of the encoded key that does not depend
// on the surrounding bytes, for a key that starts at the given offset modulo 3.
func containsBase64(recorded []byte, key string, offset int) bool {
	padded := append(make([]byte, offset, offset+len(key)), key...)
	padded = padded[:len(padded)-len(padded)%3]
	for _, e := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
		encoded := e.EncodeToString(padded)
		if offset > 0 && len(encoded) >= 4 {
			encoded = encoded[4:]
		}
		if len(encoded) >= 8 && bytes.Contains(recorded, []byte(encoded)) {
			return true
		}
	}
	return false
}
