package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
)

// digest is the SHA-256 digest of a key. It is never logged or put into errors.
type digest [sha256.Size]byte

func digestOf(key string) digest {
	// The copy of a short key stays on the stack and needs no allocation.
	var buffer [96]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

// parseDigest decodes the hexadecimal digest in a document.
func parseDigest(text string) (d digest, ok bool) {
	if len(text) != hex.EncodedLen(len(d)) {
		return digest{}, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}

func (d *digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:8]) }

func (d *digest) equal(o *digest) bool { return subtle.ConstantTimeCompare(d[:], o[:]) == 1 }

// Digest returns the hexadecimal digest of a key, as stored in documents.
func Digest(key string) string {
	d := digestOf(key)
	return hex.EncodeToString(d[:])
}
