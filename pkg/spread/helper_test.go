package spread

import (
	"context"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

func fastConfig() Config {
	return Config{ExchangeInterval: 100 * time.Millisecond, CallTimeout: time.Second, SnapshotEvery: 8, Validate: noBadService}
}

// noBadService refuses a configuration with a service named "bad".
func noBadService(next config.View) error {
	if _, ok := next.Service("bad"); ok {
		return siskin.NewError(siskin.BadInput, "the service is bad")
	}
	return nil
}

// set returns a change that gives a service one target with the given address.
func set(op, service, address string) Change {
	return Change{Operation: siskin.OperationID(op), Services: []*config.Service{{Name: siskin.ServiceName(service), Targets: []config.Target{{ID: "t", Address: address}}}}}
}

func value(v config.View, service string) string {
	s, ok := v.Service(siskin.ServiceName(service))
	if !ok {
		return ""
	}
	return s.Targets[0].Address
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	time.AfterFunc(d, cancel)
	return ctx
}

// inForce waits until a revision is in force at all VMs.
func inForce(t testing.TB, all []*node, rev siskin.Revision, limit time.Duration) time.Duration {
	t.Helper()
	begun := time.Now()
	for _, n := range all {
		for n.Revision() < rev {
			if time.Since(begun) > limit {
				t.Fatalf("seed %d: %s has revision %d after %v, want %d", *seed, n.vm.ID, n.Revision(), limit, rev)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(begun)
}

// must applies a change. It retries as an operator would, with the same
// operation id, while the platform is not back from an outage.
func must(t testing.TB, n *node, c Change) siskin.Revision {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		rev, err := n.Apply(within(5*time.Second), c)
		if err == nil {
			return rev
		}
		if siskin.KindOf(err) != siskin.Unavailable || time.Since(begun) > 5*time.Second {
			t.Fatal(err)
		}
	}
}
