package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
)

// digest is the SHA-256 digest of a key. It is not printed anywhere.
type digest [sha256.Size]byte

func digestOf(key string) digest {
	// A caller's key is short; the copy stays on the stack.
	var buffer [96]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

// parseDigest decodes the hexadecimal form of a document.
func parseDigest(text string) (d digest, ok bool) {
	if len(text) != hex.EncodedLen(len(d)) {
		return digest{}, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}

func (d *digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:8]) }

func (d *digest) equal(o *digest) bool { return subtle.ConstantTimeCompare(d[:], o[:]) == 1 }

// Digest returns the form of a key that documents hold.
func Digest(key string) string {
	d := digestOf(key)
	return hex.EncodeToString(d[:])
}
