package daemon_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/pkg/plat"
)

// TestRecordOfPrimary guards against a failover that waits for the platform,
// and against a record of the primary that stays outdated after an outage.
func TestRecordOfPrimary(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	p := load.Syntyma()
	p.Services, p.VMs = p.Services[:1], 4
	service := p.Services[0]
	f, err := fleet.Start(ctx, p)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	client, err := plat.New(plat.Config{Addresses: []string{f.Platform.Address()}, CallsPerSecond: 100, Burst: 100})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	await := func(what string, limit time.Duration, done func() bool) time.Duration {
		begun := time.Now()
		for !done() {
			if time.Since(begun) > limit {
				t.Fatalf("%s: not after %v", what, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
		return time.Since(begun)
	}
	recorded := func() (r struct {
		Term    siskin.Term
		Primary siskin.TargetID
	},
	) {
		o, err := client.Get(ctx, siskin.ObjectName("Group/"+service))
		if err == nil && o.Version > 0 {
			if err := json.Unmarshal(o.Value, &r); err != nil {
				t.Fatal(err)
			}
		}
		return r
	}
	took := await("record of the first primary", 10*time.Second, func() bool { return recorded().Term == 1 })
	t.Logf("record of the first primary %v after the start", took)
	f.Platform.Refuse(true)
	_ = f.Groups[service][0].Close()
	var view siskin.GroupView
	took = await("failover without the platform", 7*time.Second, func() bool {
		for _, vm := range f.VMs {
			g, ok := vm.Group(service)
			if ok && g.View().Term > 1 {
				view = g.View()
				return true
			}
		}
		return false
	})
	t.Logf("failover without the platform: %v", took)
	time.Sleep(5 * time.Second)
	f.Platform.Refuse(false)
	took = await("record after the outage", 45*time.Second, func() bool { return recorded().Term >= view.Term })
	if got := recorded(); got.Primary != view.Primary {
		t.Errorf("record: got %+v, want term %d and primary %s", got, view.Term, view.Primary)
	}
	t.Logf("record %v after the outage", took)
	await("record in the status of every VM that watches the group", 45*time.Second, func() bool {
		for _, vm := range f.VMs {
			if v, err := vm.View(ctx, service); err != nil || v.RecordTerm != v.Term {
				return false
			}
		}
		return true
	})
}
