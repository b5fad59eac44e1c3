package config

import (
	"encoding/hex"
	"fmt"
	"strings"

	"siskintray.example/siskin"
)

// Bounds of a customer.
const (
	maxWeight = 1000
	maxKeys   = 128
	// maxRate is far above the fleet's 25 million statements a second.
	maxRate = 1e9
)

func checkCustomer(r *report, c *Customer) {
	if _, err := EncodeCustomer(c); err != nil {
		r.add("", "name fewer services or keys", "%v", err)
	}
	checkAmount(r, "Rate", float64(c.Rate), 0.001, maxRate)
	// A burst below one request would reject every request.
	checkAmount(r, "Burst", float64(c.Burst), 1, maxRate)
	checkCount(r, "Weight", c.Weight, 1, maxWeight)
	checkCount(r, "Keys", len(c.Keys), 0, maxKeys)
	seen := map[siskin.KeyID]bool{}
	for i, k := range c.Keys {
		field := fmt.Sprintf("Keys/%d/", i)
		checkName(r, field+"ID", k.ID)
		if seen[k.ID] {
			r.add(field+"ID", "give each key of the customer its own id", "key %s appears twice", quote(k.ID))
		}
		seen[k.ID] = true
		if !ValidDigest(k.Digest) {
			r.add(field+"Digest", "write the SHA-256 digest of the key as 64 lower-case hexadecimal digits, never the key", "digest is malformed")
		}
	}
}

// ValidDigest reports whether s is a SHA-256 digest in lower-case hexadecimal.
func ValidDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32 && s == strings.ToLower(s)
}

// checkWithdrawnKeys reports withdrawn keys that the change modifies or removes,
// since a withdrawn key is never granted again.
func checkWithdrawnKeys(r *report, view View, c *Customer) {
	old, ok := view.Customer(c.ID)
	if !ok {
		return
	}
	next := make(map[siskin.KeyID]Key, len(c.Keys))
	for _, k := range c.Keys {
		next[k.ID] = k
	}
	for _, k := range old.Keys {
		if !k.Withdrawn {
			continue
		}
		if n, ok := next[k.ID]; !ok || !n.Withdrawn || n.Digest != k.Digest {
			r.add("Keys", "keep the withdrawn key as it was and grant a new key under another id", "key %s is withdrawn and cannot be changed, removed or granted again", quote(k.ID))
		}
	}
}
