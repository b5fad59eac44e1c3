package keys

import (
	"context"
	"slices"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// follow applies changes of the configuration.
func (k *Keys) follow(ctx context.Context, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		changed = k.view.Changed() // before reading, so that no change is missed
		k.refresh()
	}
}

// refresh reads the documents that changed and wakes the receivers of
// Withdrawn if something is allowed no longer.
func (k *Keys) refresh() {
	revision := k.view.Revision()
	ids := k.view.Customers()
	narrowed := false
	for _, id := range ids {
		if doc, ok := k.view.Customer(id); ok {
			narrowed = k.replace(doc) || narrowed
		}
	}
	if k.accounts.Len() > len(ids) {
		narrowed = k.remove(ids, revision) || narrowed
	}
	if uint64(revision) > k.revision.Load() {
		k.revision.Store(uint64(revision))
	}
	if narrowed {
		next := make(chan struct{})
		close(*k.narrowed.Swap(&next))
	}
}

// replace takes over one document unless a newer one was seen. It reports
// whether something is allowed no longer.
func (k *Keys) replace(doc *config.Customer) bool {
	old, _ := k.accounts.Get(doc.ID)
	if old != nil && (old.doc == doc || old.outdates(doc)) {
		return false
	}
	a := newAccount(doc, old, k.isWithdrawn)
	for id, key := range a.keys {
		if key.withdrawn {
			k.withdrawn.Put(key.digest, struct{}{})
		}
		k.own(owner{key.digest, doc.ID, id})
	}
	k.accounts.Put(doc.ID, a)
	if old != nil {
		k.disown(old, a)
	}
	return a.narrows(old)
}

func (k *Keys) isWithdrawn(d digest) bool {
	_, ok := k.withdrawn.Get(d)
	return ok
}

// own adds a key to the index.
func (k *Keys) own(o owner) {
	k.owners.Update(o.digest.prefix(), func(list []owner, _ bool) ([]owner, bool) {
		if slices.Contains(list, o) {
			return list, true
		}
		return append(slices.Clip(list), o), true
	})
}

// disown removes the keys from the index that a newer account has no longer.
func (k *Keys) disown(old, a *account) {
	for id, key := range old.keys {
		if now, ok := a.keys[id]; ok && now.digest == key.digest {
			continue
		}
		o := owner{key.digest, old.doc.ID, id}
		k.owners.Update(o.digest.prefix(), func(list []owner, _ bool) ([]owner, bool) {
			list = slices.DeleteFunc(slices.Clone(list), func(x owner) bool { return x == o })
			return list, len(list) > 0
		})
	}
}

// remove marks the accounts that the configuration has no longer.
func (k *Keys) remove(ids []siskin.CustomerID, revision siskin.Revision) (narrowed bool) {
	k.accounts.Range(func(id siskin.CustomerID, a *account) bool {
		if _, ok := slices.BinarySearch(ids, id); ok || a.removed {
			return true
		}
		gone := *a
		gone.removed, gone.doc, gone.revision = true, nil, max(a.revision, revision)
		k.accounts.Put(id, &gone)
		narrowed = true
		return true
	})
	return narrowed
}

// Withdrawn returns a channel that is closed when a key is withdrawn, or a
// customer loses a key or a service. Owners of open sessions then call Check
// and ask for the next channel first.
func (k *Keys) Withdrawn() <-chan struct{} { return *k.narrowed.Load() }

// Revision returns the revision of the configuration that is enforced here.
func (k *Keys) Revision() siskin.Revision { return siskin.Revision(k.revision.Load()) }
