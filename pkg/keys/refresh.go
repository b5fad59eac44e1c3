package keys

import (
	"context"
	"slices"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// follow applies changes of the configuration until ctx is done.
func (k *Keys) follow(ctx context.Context, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		changed = k.view.Changed() // before the read, so that no change is missed
		k.refresh()
	}
}

// refresh applies the documents that changed and closes the channel of
// Withdrawn if a key or a service was revoked.
func (k *Keys) refresh() {
	revision := k.view.Revision()
	ids := k.view.Customers()
	revoked := false
	for _, id := range ids {
		if doc, ok := k.view.Customer(id); ok {
			revoked = k.replace(doc) || revoked
		}
	}
	if k.accounts.Len() > len(ids) {
		revoked = k.remove(ids, revision) || revoked
	}
	if uint64(revision) > k.revision.Load() {
		k.revision.Store(uint64(revision))
	}
	if revoked {
		next := make(chan struct{})
		close(*k.revoked.Swap(&next))
	}
}

// replace applies one document unless a newer one was applied before. It
// reports whether a key or a service was revoked.
func (k *Keys) replace(doc *config.Customer) bool {
	old, _ := k.accounts.Get(doc.ID)
	if old != nil && (old.doc == doc || old.isNewerThan(doc)) {
		return false
	}
	a := newAccount(doc, old, k.isWithdrawn)
	for id, key := range a.keys {
		if key.withdrawn {
			k.withdrawn.Put(key.digest, struct{}{})
		}
		k.addEntry(indexEntry{key.digest, doc.ID, id})
	}
	k.accounts.Put(doc.ID, a)
	if old != nil {
		k.removeEntries(old, a)
	}
	return a.revokes(old)
}

func (k *Keys) isWithdrawn(d digest) bool {
	_, ok := k.withdrawn.Get(d)
	return ok
}

// addEntry adds a key to the index.
func (k *Keys) addEntry(entry indexEntry) {
	k.entries.Update(entry.digest.prefix(), func(list []indexEntry, _ bool) ([]indexEntry, bool) {
		if slices.Contains(list, entry) {
			return list, true
		}
		return append(slices.Clip(list), entry), true
	})
}

// removeEntries removes the keys of old that the newer account a does not have
// from the index.
func (k *Keys) removeEntries(old, a *account) {
	for id, key := range old.keys {
		if current, ok := a.keys[id]; ok && current.digest == key.digest {
			continue
		}
		entry := indexEntry{key.digest, old.doc.ID, id}
		k.entries.Update(entry.digest.prefix(), func(list []indexEntry, _ bool) ([]indexEntry, bool) {
			list = slices.DeleteFunc(slices.Clone(list), func(x indexEntry) bool { return x == entry })
			return list, len(list) > 0
		})
	}
}

// remove replaces the accounts of customers that are no longer in the
// configuration by tombstones. It reports whether there were any.
func (k *Keys) remove(ids []siskin.CustomerID, revision siskin.Revision) (revoked bool) {
	k.accounts.Range(func(id siskin.CustomerID, a *account) bool {
		if _, ok := slices.BinarySearch(ids, id); ok || a.removed {
			return true
		}
		tombstone := *a
		tombstone.removed, tombstone.doc, tombstone.revision = true, nil, max(a.revision, revision)
		k.accounts.Put(id, &tombstone)
		revoked = true
		return true
	})
	return revoked
}

// Withdrawn returns a channel that is closed when a key is withdrawn, or a key
// or service is removed from a customer. Whoever holds an open session then
// gets the next channel and calls Check, in this order, so that no withdrawal
// is missed.
func (k *Keys) Withdrawn() <-chan struct{} { return *k.revoked.Load() }

// Revision returns the revision of the configuration that this VM enforces.
func (k *Keys) Revision() siskin.Revision { return siskin.Revision(k.revision.Load()) }
