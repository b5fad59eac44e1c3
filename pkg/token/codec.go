package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"sync"
	"sync/atomic"

	"siskintray.example/siskin"
)

const (
	prefix  = "st1." // version of the text form
	posSize = 16     // term and log position, 8 bytes each
	macSize = 16     // HMAC-SHA-256 truncated to 128 bits
	rawSize = posSize + macSize
)

// MinKeySize is the minimum size of a signing key in bytes.
const MinKeySize = 16

// TextSize is the length of a token's text form in bytes.
const TextSize = len(prefix) + (rawSize*8+5)/6

var encoding = base64.RawURLEncoding.Strict()

// Codec signs and verifies tokens. It signs with the current key and accepts
// the previous one, so that keys can be rotated while sessions are open. It is
// safe for concurrent use.
type Codec struct {
	signers atomic.Pointer[[]*sync.Pool] // current key first
}

// signer holds a keyed hash and the buffers of one computation. Signers are
// pooled, so that a verification does not allocate.
type signer struct {
	hash hash.Hash
	raw  [rawSize]byte
	sum  [sha256.Size]byte
	name []byte
}

// NewCodec returns a Codec for the current key and an optional previous key.
func NewCodec(current, previous []byte) (*Codec, error) {
	c := &Codec{}
	return c, c.SetKeys(current, previous)
}

// SetKeys replaces the keys. Tokens that are signed with neither of the new
// keys are rejected from then on. On an error the earlier keys remain in use.
func (c *Codec) SetKeys(current, previous []byte) error {
	var signers []*sync.Pool
	for i, key := range [][]byte{current, previous} {
		if i == 1 && len(key) == 0 {
			break
		}
		if len(key) < MinKeySize {
			return siskin.NewError(siskin.BadInput, "token key has %d bytes, needs at least %d", len(key), MinKeySize).
				WithRemedy("set a longer random token key, the same on every VM")
		}
		key := append([]byte(nil), key...)
		signers = append(signers, &sync.Pool{New: func() any {
			return &signer{hash: hmac.New(sha256.New, key)}
		}})
	}
	c.signers.Store(&signers)
	return nil
}

// mac returns the signature of the position in s.raw for the service.
func (s *signer) mac(service siskin.ServiceName) []byte {
	s.hash.Reset()
	s.name = append(s.name[:0], service...)
	s.hash.Write(s.raw[:posSize]) // a hash never fails
	s.hash.Write(s.name)
	return s.hash.Sum(s.sum[:0])[:macSize]
}

// Append appends the text form of t to dst.
func (c *Codec) Append(dst []byte, t Token) []byte {
	pool := (*c.signers.Load())[0]
	s := pool.Get().(*signer)
	defer pool.Put(s)
	binary.BigEndian.PutUint64(s.raw[:], uint64(t.Position.Term))
	binary.BigEndian.PutUint64(s.raw[8:], uint64(t.Position.LSN))
	copy(s.raw[posSize:], s.mac(t.Service))
	dst = append(dst, prefix...)
	return encoding.AppendEncode(dst, s.raw[:])
}

// Encode returns the text form of t.
func (c *Codec) Encode(t Token) string { return string(c.Append(nil, t)) }

// Verify checks the text form of a token of the service and returns its
// position. It does not allocate on success.
func (c *Codec) Verify(service siskin.ServiceName, text []byte) (siskin.Position, error) {
	if len(text) != TextSize || string(text[:len(prefix)]) != prefix {
		return siskin.Position{}, badToken("is malformed")
	}
	for _, pool := range *c.signers.Load() {
		s := pool.Get().(*signer)
		n, err := encoding.Decode(s.raw[:], text[len(prefix):])
		ok := err == nil && n == rawSize && subtle.ConstantTimeCompare(s.raw[posSize:], s.mac(service)) == 1
		p := siskin.Position{
			Term: siskin.Term(binary.BigEndian.Uint64(s.raw[:])),
			LSN:  siskin.LSN(binary.BigEndian.Uint64(s.raw[8:])),
		}
		pool.Put(s)
		if ok {
			return p, nil
		}
	}
	return siskin.Position{}, badToken("has a wrong signature or belongs to another service")
}

func badToken(fault string) error {
	return siskin.NewError(siskin.BadToken, "session token %s", fault).
		WithRemedy("use a token that this fleet returned for the service within the last key rotation, or none")
}
