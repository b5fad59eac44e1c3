package sysd

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/platform/stand"
)

const (
	testKey  = "key-of-acme"
	surgeKey = "key-of-surge"
)

// surgeRate is the rate and burst of the customer that asks for too much.
const surgeRate = 100

// testFleet is a simulated platform with several VMs in this process.
type testFleet struct {
	t        *testing.T
	platform *stand.Platform
	revision siskin.Revision
	unfenced bool
	// prioritized makes routes differ in priority and adds a customer that asks
	// for more than its rate.
	prioritized bool
	// startCalls is the number of store calls until the VMs were ready.
	startCalls int64
	// withoutStore holds the VMs that cannot reach the store.
	withoutStore map[int]bool

	mu    sync.Mutex
	nodes []*node // nil while a VM is stopped
}

// node returns a VM, nil while it is stopped.
func (f *testFleet) node(i int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i]
}

// set replaces or adds a VM, and returns the previous one.
func (f *testFleet) set(i int, n *node) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i == len(f.nodes) {
		f.nodes = append(f.nodes, nil)
	}
	old := f.nodes[i]
	f.nodes[i] = n
	return old
}

func testService() stand.ServiceOptions {
	return stand.ServiceOptions{
		Name: "ledger", Zones: []string{"dc-1", "dc-2", "dc-3"}, Slots: 2, MaxConnections: 16, SyncReplicas: 1,
		StatementTime: 2 * time.Millisecond, Lag: 20 * time.Millisecond, PromotionDelay: 300 * time.Millisecond,
	}
}

func testDeployment(revision siskin.Revision) *siskin.Deployment {
	route := func(name string, kind siskin.RouteKind) siskin.RouteSpec {
		return siskin.RouteSpec{
			Name: siskin.RouteName(name), Database: name, Service: "ledger", Kind: kind, Timeout: 800 * time.Millisecond,
			LatencyObjective: 200 * time.Millisecond, MaxStaleness: 1500 * time.Millisecond, Priority: 1,
		}
	}
	return &siskin.Deployment{
		Version: revision, TxIdleTimeout: 3 * time.Second, SessionIdleTimeout: time.Minute,
		Routes: []siskin.RouteSpec{
			route("orders", siskin.PrimaryReads), route("designs", siskin.BoundedStaleness), route("press", siskin.ReadYourWrites),
		},
		Services:  []siskin.ServiceSpec{{Name: "ledger", MaxConnections: 16, SyncReplicas: 1}},
		Customers: []siskin.CustomerSpec{{ID: "acme", Keys: []string{testKey}, Rate: 5000, Burst: 5000}},
	}
}

// deployment returns the present revision of the deployment.
func (f *testFleet) deployment() *siskin.Deployment {
	d := testDeployment(f.revision)
	if !f.prioritized {
		return d
	}
	leisurely := d.Routes[1]
	leisurely.Name, leisurely.Database, leisurely.Priority = "audit", "audit", siskin.LowestPriority
	d.Routes[0].Priority, d.Routes[1].Priority, d.Routes[2].Priority = 0, 2, 1
	d.Routes = append(d.Routes, leisurely)
	d.Customers = append(d.Customers, siskin.CustomerSpec{ID: "surge", Keys: []string{surgeKey}, Rate: surgeRate, Burst: surgeRate})
	return d
}

// prioritize makes routes differ in priority, and waits until this is in force.
func (f *testFleet) prioritize() *testFleet {
	f.prioritized = true
	f.revision++
	f.platform.SetDeployment(f.deployment())
	f.await("the priorities are in force", 10*time.Second, func() bool {
		for _, n := range f.nodes {
			if n.table.Snapshot().Version != f.revision {
				return false
			}
		}
		return true
	})
	return f
}

// startFleet starts a platform and VMs in three data centres, and waits until
// they serve.
func startFleet(t *testing.T, vms int) *testFleet { return startFleetOn(t, vms, testService()) }

// startUnfencedFleet starts a fleet on a platform that checks no fencing
// tokens and does not demote former primaries.
func startUnfencedFleet(t *testing.T, vms int) *testFleet {
	service := testService()
	service.Unfenced = true
	f := startFleetOn(t, vms, service)
	t.Cleanup(func() {
		if got := f.platform.LowFences("ledger"); got != 0 {
			t.Errorf("promotions with a lower fencing token than an earlier one: got %d, want 0", got)
		}
	})
	return f
}

func startFleetOn(t *testing.T, vms int, service stand.ServiceOptions) *testFleet {
	t.Helper()
	t.Parallel()
	return startFleetApart(t, vms, service)
}

// startFleetApart starts a fleet beside which no test in parallel runs.
func startFleetApart(t *testing.T, vms int, service stand.ServiceOptions) *testFleet {
	t.Helper()
	p, err := stand.Start(service)
	if err != nil {
		t.Fatal(err)
	}
	f := &testFleet{t: t, platform: p, revision: 1, unfenced: service.Unfenced, withoutStore: make(map[int]bool)}
	p.SetDeployment(testDeployment(f.revision))
	p.CopyStore() // without objects of VMs
	for i := range vms {
		f.set(i, f.start(i))
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			if n != nil {
				if err := n.close(); err != nil {
					t.Error(err)
				}
			}
		}
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	f.await("the VMs are ready and know each other", 10*time.Second, func() bool {
		for _, n := range f.nodes {
			if !n.ready() || len(n.crew.Live()) != vms || n.views.LatestProof("ledger").Target == "" || n.rates.Holders() == nil {
				return false
			}
		}
		return true
	})
	f.startCalls = p.StoreCalls()
	// Shares of rates begin without a token, so that a first statement sent at
	// once may be refused as documented.
	f.await("each VM admits a statement", 10*time.Second, func() bool {
		for _, n := range f.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			admitted := n.rates.AdmitWait(ctx, "acme", 1).Admitted
			cancel()
			if !admitted {
				return false
			}
		}
		return true
	})
	return f
}

// freeAddresses returns n free loopback addresses.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // only after the last one is found, so that all differ
		list = append(list, l.Addr().String())
	}
	return list
}

// start starts a VM. It retries with other addresses, since another test may
// bind an address after it was chosen.
func (f *testFleet) start(i int) *node {
	f.t.Helper()
	var err error
	for range 5 {
		var n *node
		if n, err = newNode(f.settings(i), logs.New("error", "json", io.Discard)); err == nil {
			return n
		}
	}
	f.t.Fatal(err)
	return nil
}

// testEvacuateWithin is the time within which an evacuation must be applied.
const testEvacuateWithin = 5 * time.Second

// A cold target may get up to testColdExcess times the rate for cold targets
// of its service, plus testColdSlack, in one second.
const (
	testColdExcess = 1.5
	testColdSlack  = 5
)

func (f *testFleet) settings(i int) *cfgini.System {
	free := freeAddresses(f.t, 5)
	cfg := &cfgini.System{
		VM:     cfgini.SystemVM{ID: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3+1), Memory: 184 << 20},
		Caller: cfgini.SystemCaller{Address: free[0], MaxSessions: 1000},
		Ready:  cfgini.SystemReady{Address: free[1]}, Peer: cfgini.SystemPeer{Address: free[2]},
		Store:    cfgini.SystemStore{Address: f.platform.Address(), Timeout: time.Second},
		Promoter: cfgini.SystemPromoter{Address: f.platform.Address(), Timeout: 700 * time.Millisecond, Fencing: !f.unfenced},
		Operator: cfgini.SystemOperator{EvacuateWithin: testEvacuateWithin, ColdExcess: testColdExcess, ColdSlack: testColdSlack},
		Metrics:  cfgini.SystemMetrics{Address: free[3]}, Stop: cfgini.SystemStop{Grace: 6 * time.Second},
	}
	if f.withoutStore[i] {
		cfg.Store.Address = free[4]
	}
	for n := range f.nodes[:min(i, len(f.nodes))] {
		if seed := f.node(n); seed != nil {
			cfg.Peer.Seeds = []string{seed.cfg.Peer.Address}
			break
		}
	}
	return cfg
}

// await waits for a condition.
func (f *testFleet) await(what string, limit time.Duration, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func (f *testFleet) dial(vm int, database, key string) (*stand.Client, error) {
	n := f.node(vm)
	if n == nil {
		return nil, net.ErrClosed
	}
	return stand.Dial(n.cfg.Caller.Address, database, key)
}

func (f *testFleet) mustDial(vm int, database string) *stand.Client {
	f.t.Helper()
	c, err := f.dial(vm, database, testKey)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Conn.Close() })
	return c
}

// mustQuery sends a statement that must succeed.
func (f *testFleet) mustQuery(c *stand.Client, text string) stand.Result {
	f.t.Helper()
	res, err := c.Query(text)
	if err != nil || res.Code != "" {
		f.t.Fatalf("%s: got %s %s %v, want success", text, res.Code, res.Text, err)
	}
	return res
}
