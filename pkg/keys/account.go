package keys

import (
	"slices"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// account holds the keys and services of one customer. It is immutable: a new
// document replaces it.
type account struct {
	doc      *config.Customer
	revision siskin.Revision
	services []siskin.ServiceName // sorted
	keys     map[siskin.KeyID]keyState
	// removed reports whether the customer was removed from the configuration.
	// The account is kept as a tombstone, so that an older document does not
	// restore it.
	removed bool
}

type keyState struct {
	digest    digest
	withdrawn bool
}

// newAccount returns the account of a document. A key that is withdrawn in old
// remains withdrawn, and so does every key whose digest isWithdrawn reports.
func newAccount(doc *config.Customer, old *account, isWithdrawn func(digest) bool) *account {
	a := &account{doc: doc, revision: doc.Revision, services: slices.Sorted(slices.Values(doc.Services)), keys: make(map[siskin.KeyID]keyState, len(doc.Keys))}
	for _, k := range doc.Keys {
		d, ok := parseDigest(k.Digest)
		if !ok {
			continue // validation rejects such a document; the key cannot match
		}
		a.keys[k.ID] = keyState{digest: d, withdrawn: k.Withdrawn || isWithdrawn(d)}
	}
	if old != nil {
		for id, k := range old.keys {
			if current, ok := a.keys[id]; ok && k.withdrawn {
				current.withdrawn = true
				a.keys[id] = current
			} else if k.withdrawn {
				a.keys[id] = k
			}
		}
	}
	return a
}

// isNewerThan reports whether the account supersedes a document. A removal also
// supersedes a document of the same revision.
func (a *account) isNewerThan(doc *config.Customer) bool {
	return doc.Revision < a.revision || (a.removed && doc.Revision <= a.revision)
}

// mayUse reports whether the customer may use a service.
func (a *account) mayUse(service siskin.ServiceName) bool {
	_, ok := slices.BinarySearch(a.services, service)
	return ok
}

// revokes reports whether a key or a service that was valid in old no longer is.
func (a *account) revokes(old *account) bool {
	if old == nil || old.removed {
		return false
	}
	if a.removed || slices.ContainsFunc(old.services, func(s siskin.ServiceName) bool { return !a.mayUse(s) }) {
		return true
	}
	for id, k := range old.keys {
		if current, ok := a.keys[id]; !k.withdrawn && (!ok || current.withdrawn || current.digest != k.digest) {
			return true
		}
	}
	return false
}
