package spread

import (
	"context"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

func fastConfig() Config {
	return Config{ExchangeInterval: 100 * time.Millisecond, CallTimeout: time.Second, SnapshotEvery: 8, Validate: refuseBadService}
}

// refuseBadService refuses a service named "bad" and checks the base of a change
// that has one. It skips the validation of documents, since the tests leave
// most of their fields empty.
func refuseBadService(view config.View, c *config.Change) (found config.Findings) {
	for _, s := range c.Services {
		if s.Name == "bad" {
			found = append(found, config.Finding{Place: "Service/bad", Message: "the service is bad"})
		}
	}
	for _, f := range config.Validate(view, c) {
		if f.Place == "Change/Base" && c.Base != 0 {
			found = append(found, f)
		}
	}
	return found
}

// change is a change with the operation id under which it is applied.
type change struct {
	Operation siskin.OperationID
	config.Change
}

// Apply applies a change under its operation id.
func (n *node) Apply(ctx context.Context, c change) (siskin.Revision, error) {
	return n.ApplyWithID(ctx, c.Operation, &c.Change)
}

// setTarget returns a change that gives a service one target with the given
// address.
func setTarget(op, service, address string) change {
	return change{siskin.OperationID(op), config.Change{Services: []*config.Service{{Name: siskin.ServiceName(service), Targets: []config.Target{{ID: "t", Address: address}}}}}}
}

func targetAddress(v config.View, service string) string {
	s, ok := v.Service(siskin.ServiceName(service))
	if !ok {
		return ""
	}
	return s.Targets[0].Address
}

func withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	time.AfterFunc(d, cancel)
	return ctx
}

// waitForRevision waits until a revision is in force at all VMs.
func waitForRevision(t testing.TB, all []*node, rev siskin.Revision, limit time.Duration) time.Duration {
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

// mustApply applies a change. Like an operator, it retries with the same
// operation id while the platform is unavailable.
func mustApply(t testing.TB, n *node, c change) siskin.Revision {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		rev, err := n.Apply(withTimeout(5*time.Second), c)
		if err == nil {
			return rev
		}
		if siskin.KindOf(err) != siskin.Unavailable || time.Since(begun) > 5*time.Second {
			t.Fatal(err)
		}
	}
}
