package keys

import (
	"context"
	"sync"
	"sync/atomic"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/shard"
)

// Keys authenticates callers against the current configuration. It implements
// siskin.Authenticator and is safe for concurrent use.
type Keys struct {
	clock    siskin.Clock
	view     config.View
	evidence func() Evidence

	accounts *shard.Map[siskin.CustomerID, *account]
	entries  *shard.Map[uint64, []indexEntry] // by digest prefix
	// withdrawn holds the digest of every key that was ever withdrawn.
	withdrawn *shard.Map[digest, struct{}]
	revision  atomic.Uint64 // configuration revision of the accounts
	// revoked is closed and replaced when a key or a service is revoked.
	revoked atomic.Pointer[chan struct{}]

	cancel context.CancelFunc
	done   sync.WaitGroup
}

var _ siskin.Authenticator = (*Keys)(nil)

// indexEntry maps the digest of a key to its customer and key ID.
type indexEntry struct {
	digest   digest
	customer siskin.CustomerID
	key      siskin.KeyID
}

// Option configures Keys.
type Option func(*Keys)

// WithEvidence sets the source of evidence that this VM knows all withdrawals.
// It is called at every check and must be fast. Without this option the VM is
// always assumed to know them.
func WithEvidence(evidence func() Evidence) Option { return func(k *Keys) { k.evidence = evidence } }

// New returns the Keys of a configuration and applies its changes until Close.
func New(clock siskin.Clock, view config.View, options ...Option) *Keys {
	k := &Keys{
		clock: clock, view: view,
		accounts:  shard.New[siskin.CustomerID, *account](),
		entries:   shard.New[uint64, []indexEntry](),
		withdrawn: shard.New[digest, struct{}](),
	}
	for _, o := range options {
		o(k)
	}
	first := make(chan struct{})
	k.revoked.Store(&first)
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	changed := view.Changed()
	k.refresh()
	k.done.Go(func() { k.follow(ctx, changed) })
	return k
}

// Close stops applying changes of the configuration.
func (k *Keys) Close() error {
	k.cancel()
	k.done.Wait()
	return nil
}

// Authenticate implements siskin.Authenticator.
func (k *Keys) Authenticate(service siskin.ServiceName, key string) (siskin.KeyGrant, error) {
	d := digestOf(key)
	entries, _ := k.entries.Get(d.prefix())
	refusal := error(nil)
	for i := range entries {
		if !entries[i].digest.equal(&d) {
			continue
		}
		grant := siskin.KeyGrant{Customer: entries[i].customer, Key: entries[i].key}
		err := k.Check(service, grant)
		if err == nil {
			return grant, nil
		}
		if refusal == nil || siskin.KindOf(err) == siskin.KeyWithdrawn {
			refusal = err
		}
	}
	switch {
	case refusal != nil:
		return siskin.KeyGrant{}, refusal
	case Mistyped(key):
		return siskin.KeyGrant{}, siskin.NewError(siskin.KeyRefused, "the checksum of the key is wrong").
			WithRemedy("copy the key again; some characters are missing or changed")
	default:
		return siskin.KeyGrant{}, notGranted(service)
	}
}

// Check implements siskin.Authenticator.
func (k *Keys) Check(service siskin.ServiceName, grant siskin.KeyGrant) error {
	a, ok := k.accounts.Get(grant.Customer)
	if !ok {
		return notGranted(service)
	}
	state, ok := a.keys[grant.Key]
	switch {
	case ok && state.withdrawn, !ok, a.removed:
		return siskin.NewError(siskin.KeyWithdrawn, "key %s of customer %s is withdrawn", grant.Key, grant.Customer).
			WithRemedy("ask the operators for a new key")
	case !a.mayUse(service):
		return notGranted(service)
	case k.evidence == nil:
		return nil
	default:
		return k.checkEvidence(service)
	}
}

// checkEvidence returns an error if this VM may have missed a withdrawal for
// longer than the grace period of the service.
func (k *Keys) checkEvidence(service siskin.ServiceName) error {
	doc, ok := k.view.Service(service)
	if !ok {
		return notGranted(service)
	}
	now, evidence := k.clock.Now(), k.evidence()
	if MayAccept(now, evidence, doc.KeyGrace.Std()) {
		return nil
	}
	return siskin.NewError(siskin.KeyRefused, "keys of service %s cannot be checked: this data centre is cut off since %s", service, now.Sub(evidence.Last()).Round(1e9)).
		WithRemedy("connect to another data centre")
}

func notGranted(service siskin.ServiceName) error {
	return siskin.NewError(siskin.KeyRefused, "the key is not valid for service %s", service).
		WithRemedy("check the key and the service name, or ask the operators to grant the service")
}
