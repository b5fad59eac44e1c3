package keys

import (
	"crypto/rand"
	"encoding/base32"
	"hash/crc32"
	"strings"
)

// keyPrefix starts every generated key, so that people and scanners for
// leaked secrets recognize one.
const keyPrefix = "siskey_"

const (
	secretSize   = 32
	checksumSize = 4
)

// alphabet leaves out i, l, o and u, which are mistaken for other characters.
const alphabet = "0123456789abcdefghjkmnpqrstvwxyz"

var encoding = base32.NewEncoding(alphabet).WithPadding(base32.NoPadding)

// Generate returns a new key: the prefix, then 32 random bytes and a checksum
// in base 32.
func Generate() string {
	var secret [secretSize]byte
	_, _ = rand.Read(secret[:]) // crypto/rand never fails; it ends the program
	return format(secret[:])
}

func format(secret []byte) string {
	return keyPrefix + encoding.EncodeToString(append(secret[:len(secret):len(secret)], checksum(secret)...))
}

// checksum guards against typing errors only; it keeps nothing secret.
func checksum(secret []byte) []byte {
	sum := crc32.ChecksumIEEE(secret)
	return []byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}
}

// Mistyped reports whether key starts like a generated key but is none, because
// characters are missing or changed. Other keys are never mistyped.
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
