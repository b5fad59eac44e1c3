package daemon

import (
	"context"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/pkg/config"
)

// confirmTimeout bounds the wait for all data centres after a change of a key.
// It is the documented time until a withdrawal is in force, plus a margin.
const confirmTimeout = 5 * time.Second

// confirmInterval is the time between two rounds of calls to all VMs.
const confirmInterval = 100 * time.Millisecond

// keyBackend implements admin.KeyStore.
type keyBackend struct{ d *Daemon }

// Grant implements admin.KeyStore.
func (b *keyBackend) Grant(ctx context.Context, customer siskin.CustomerID, key config.Key) (admin.KeyOutcome, error) {
	return b.d.changeKeys(ctx, customer, func(doc *config.Customer) error {
		doc.Keys = append(slices.Clone(doc.Keys), key)
		return nil
	})
}

// Withdraw implements admin.KeyStore.
func (b *keyBackend) Withdraw(ctx context.Context, customer siskin.CustomerID, key siskin.KeyID) (admin.KeyOutcome, error) {
	return b.d.Withdraw(ctx, customer, key)
}

// Withdraw withdraws a key permanently and waits until all data centres have
// confirmed, at most for confirmTimeout.
func (d *Daemon) Withdraw(ctx context.Context, customer siskin.CustomerID, key siskin.KeyID) (admin.KeyOutcome, error) {
	return d.changeKeys(ctx, customer, func(doc *config.Customer) error {
		doc.Keys = slices.Clone(doc.Keys)
		for i := range doc.Keys {
			if doc.Keys[i].ID == key {
				doc.Keys[i].Withdrawn = true
				return nil
			}
		}
		return siskin.NewError(siskin.BadInput, "customer %s has no key %s", customer, key).
			WithRemedy("list the keys with: siskintray key list " + string(customer))
	})
}

// changeKeys changes the keys of a customer. After a conflict with a concurrent
// change it retries with the new document.
func (d *Daemon) changeKeys(ctx context.Context, customer siskin.CustomerID, change func(doc *config.Customer) error) (admin.KeyOutcome, error) {
	var revision siskin.Revision
	for {
		doc, ok := d.spread.Customer(customer)
		if !ok {
			return admin.KeyOutcome{}, siskin.NewError(siskin.UnknownRoute, "customer %s does not exist", customer).
				WithRemedy("list the customers with: siskintray customer list")
		}
		next := *doc
		if err := change(&next); err != nil {
			return admin.KeyOutcome{}, err
		}
		var err error
		revision, err = d.spread.Apply(ctx, &config.Change{Base: d.spread.Revision(), Customers: []*config.Customer{&next}})
		if err == nil {
			break
		}
		if siskin.KindOf(err) != siskin.Conflict || ctx.Err() != nil {
			return admin.KeyOutcome{}, err
		}
	}
	return d.confirm(ctx, revision), nil
}

// confirm waits until every data centre has the revision, at most for
// confirmTimeout.
func (d *Daemon) confirm(ctx context.Context, revision siskin.Revision) admin.KeyOutcome {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		missing, inForce := unconfirmed(d.revisions(ctx), revision)
		if len(missing) == 0 || ctx.Err() != nil {
			return admin.KeyOutcome{Revision: revision, InForce: inForce, NotConfirmed: missing}
		}
		select {
		case <-ctx.Done():
		case <-d.options.clock.After(confirmInterval):
		}
	}
}
