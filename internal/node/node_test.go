package node

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/token"
)

var credentials = config.Credentials{
	User: "app", Password: "full", ReadUser: "app_ro", ReadPassword: "readonly", Database: "ledger",
}

// startFleet starts a group of three targets and three VMs in two data centres.
func startFleet(t *testing.T, edits ...func(*Config)) (vms []string, targets []*target.Server) {
	t.Helper()
	vms, targets, _ = startNodes(t, edits...)
	return vms, targets
}

// startNodes is like startFleet but also returns the nodes.
func startNodes(t *testing.T, edits ...func(*Config)) (vms []string, targets []*target.Server, nodes []*Node) {
	t.Helper()
	restore := invar.OnViolation(func(name, detail string) { t.Errorf("invariant %s: %s", name, detail) })
	t.Cleanup(restore)
	targets, err := target.StartGroup("ledger", 3, func(c *target.Config) {
		c.User, c.Password, c.ReadUser, c.ReadPassword = credentials.User, credentials.Password, credentials.ReadUser, credentials.ReadPassword
		c.Database, c.Slots, c.ConnectionsPerSlot = credentials.Database, 2, 16
	})
	if err != nil {
		t.Fatal(err)
	}
	view := config.NewStaticView([]*config.Service{service(targets)}, []*config.Customer{{ID: "shop", Weight: 1}})
	codec, err := token.NewCodec([]byte("0123456789abcdef"), nil)
	if err != nil {
		t.Fatal(err)
	}
	peers := &fakePeers{receivers: make(map[siskin.VMID]map[string]any)}
	var fleet []siskin.VM
	var callers, forwards []net.Listener
	for i := range 3 {
		caller, forward := listen(t), listen(t)
		callers, forwards = append(callers, caller), append(forwards, forward)
		vms = append(vms, caller.Addr().String())
		fleet = append(fleet, siskin.VM{
			ID: siskin.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: dataCentre(i),
			ForwardAddress: forward.Addr().String(), State: siskin.VMLive,
		})
	}
	for i, vm := range fleet {
		cfg := Config{
			Self: vm, Clock: clockwork.NewRealClock(), Log: &log.Logger{Level: log.PanicLevel},
			Config: view, Members: &fakeMembers{self: vm, live: fleet}, Peers: peers,
			Limiter: openLimiter{}, Keys: fakeKeys{}, Tokens: codec,
			Caller: callers[i], Forward: forwards[i], ProbeInterval: 50 * time.Millisecond,
		}
		for _, edit := range edits {
			edit(&cfg)
		}
		n, err := Start(cfg)
		if err != nil {
			t.Fatal(err)
		}
		peers.mu.Lock()
		peers.receivers[vm.ID] = n.Receivers()
		nodes = append(nodes, n)
		peers.mu.Unlock()
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			n.Close(ctx)
		})
	}
	t.Cleanup(func() {
		for _, s := range targets {
			_ = s.Close()
		}
	})
	return vms, targets, nodes
}

func dataCentre(i int) siskin.DataCentreID { return siskin.DataCentreID(fmt.Sprintf("dc-%d", i%2)) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func service(targets []*target.Server) *config.Service {
	s := &config.Service{
		Name: "ledger", Slots: 2, ConnectionsPerSlot: 16, AckReplicas: 1, Credentials: credentials,
		MaxUnconfirmed: config.Duration(2 * time.Second),
		Routes: []config.Route{
			{Name: "write", Mode: config.WriteRoute, Deadline: config.Duration(8 * time.Second)},
			{Name: "read", Mode: config.ReadRoute, Repeatable: true, Deadline: config.Duration(8 * time.Second)},
		},
	}
	for i, t := range targets {
		s.Targets = append(s.Targets, config.Target{ID: t.ID(), DataCentre: dataCentre(i), Address: t.Address()})
	}
	return s
}

// TestFleetSurvivesPrimary guards against lost writes, sessions that do not read
// their own writes, and unanswered requests when the primary fails under load.
func TestFleetSurvivesPrimary(t *testing.T) {
	vms, targets := startFleet(t)
	run := load.NewRun(load.Config{
		VMs: vms, ReadRoute: "read", WriteRoute: "write", Timeout: 10 * time.Second, Seed: 1,
		Groups: []load.Group{{
			Customer: "shop", Key: "shop", Service: "ledger", Callers: 12, Rate: 300, WriteShare: 0.3,
			RoamEvery: 500 * time.Millisecond,
		}},
	}, 3*time.Second)
	fault := 1200 * time.Millisecond
	timer := time.AfterFunc(fault, func() { targets[0].SetPaused(true) })
	defer timer.Stop()
	run.Do(context.Background())
	verdict := load.Judge(&run.Recorder, target.PrimaryTable(targets))
	for _, b := range verdict.Breaches {
		t.Error(b)
	}
	if verdict.AcknowledgedWrites == 0 {
		t.Errorf("acknowledged writes: got 0, want some")
	}
	gap, ok := load.WriteGap(run.Recorder.Events(), fault)
	if want := 7 * time.Second; !ok || gap >= want {
		t.Errorf("write gap: got %v, %v, want under %v", gap, ok, want)
	}
	slowest := load.LatenciesOf(run.Recorder.Events(), func(*load.Event) bool { return true }).Max
	if want := 7 * time.Second; slowest >= want {
		t.Errorf("slowest answer: got %v, want under %v", slowest, want)
	}
	t.Logf("acknowledged %d writes, gap %v, slowest answer %v", verdict.AcknowledgedWrites, gap, slowest)
}
