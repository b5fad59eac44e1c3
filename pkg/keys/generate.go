package keys

import (
	"crypto/rand"
	"encoding/base32"
	"hash/crc32"
	"strings"
)

// keyPrefix is the prefix of every generated key, so that people and secret
// scanners recognize one.
const keyPrefix = "siskey_"

const (
	secretSize   = 32
	checksumSize = 4
)

// alphabet omits i, l, o and u, which are easily mistaken for other characters.
const alphabet = "0123456789abcdefghjkmnpqrstvwxyz"

var encoding = base32.NewEncoding(alphabet).WithPadding(base32.NoPadding)

// Generate returns a new key: the prefix, then 32 random bytes and a checksum
// in base 32.
func Generate() string {
	var secret [secretSize]byte
	_, _ = rand.Read(secret[:]) // crypto/rand never returns an error; it crashes the program
	return format(secret[:])
}

func format(secret []byte) string {
	return keyPrefix + encoding.EncodeToString(append(secret[:len(secret):len(secret)], checksum(secret)...))
}

// checksum detects typing errors only; it has no role in security.
func checksum(secret []byte) []byte {
	sum := crc32.ChecksumIEEE(secret)
	return []byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}
}

// Mistyped reports whether key has the prefix of a generated key but a wrong
// length, encoding or checksum. Keys without the prefix are never mistyped.
func Mistyped(key string) bool {
	body, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return false
	}
	raw, err := encoding.DecodeString(body)
	if err != nil || len(raw) != secretSize+checksumSize {
		return true
	}
	return key != format(raw[:secretSize])
}
