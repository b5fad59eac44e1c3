package crew

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/quota"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
	"siskintray.example/siskin/internal/views"
)

// fabric connects the crews of a test and drops calls over cut links.
type fabric struct {
	t        *testing.T
	mu       sync.Mutex
	crews    map[siskin.VMID]*testCrew
	cut      map[siskin.VMID]bool // VMs that are cut off from all others
	ended    map[siskin.VMID]bool // VMs whose process has ended
	isolated siskin.DataCentreID  // data centre that is cut off from the others
	bytes    atomic.Int64         // of pings between data centres
	pings    atomic.Int64
}

type testCrew struct {
	*Crew
	f      *fabric
	table  *table.Table
	roster *roster.Roster
	views  *views.Views
}

func newFabric(t *testing.T) *fabric {
	return &fabric{t: t, crews: make(map[siskin.VMID]*testCrew), cut: make(map[siskin.VMID]bool), ended: make(map[siskin.VMID]bool)}
}

func (f *fabric) setCut(id siskin.VMID, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[id] = on
}

func (f *fabric) setEnded(id siskin.VMID, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended[id] = on
}

func (f *fabric) hasEnded(id siskin.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended[id]
}

func (f *fabric) find(from, to siskin.VMID) *testCrew {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, c := range f.crews {
		if (id == to || siskin.AddressID(string(id)) == to) && !f.cut[id] && !f.cut[from] && !f.separated(from, id) {
			return c
		}
	}
	return nil
}

func (f *fabric) isolate(dc siskin.DataCentreID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated = dc
}

// separated reports whether the isolated data centre has exactly one of two
// VMs. The caller holds mu.
func (f *fabric) separated(a, b siskin.VMID) bool {
	x, y := f.crews[a], f.crews[b]
	return f.isolated != "" && x != nil && y != nil && (x.cfg.Self.DataCentre == f.isolated) != (y.cfg.Self.DataCentre == f.isolated)
}

var errSilent = errors.New("no answer")

// Call implements siskin.Peers. It encodes the messages as they are between
// VMs.
func (c *testCrew) Call(_ context.Context, to siskin.VMID, method string, args, reply any) error {
	if c.f.hasEnded(to) {
		return siskin.NewError(siskin.Unavailable, "no response from %s", to).WithCause(syscall.ECONNREFUSED)
	}
	peer := c.f.find(c.cfg.Self.ID, to)
	if peer == nil {
		return errSilent
	}
	data, err := json.Marshal(args)
	if err != nil {
		return err
	}
	var answer any
	switch method {
	case "Crew.Ping":
		c.f.pings.Add(1)
		var in, out State
		if err = json.Unmarshal(data, &in); err == nil {
			err = peer.Receiver().Ping(&in, &out)
		}
		answer = out
	case "Crew.Fetch":
		var in FetchArgs
		var out FetchReply
		if err = json.Unmarshal(data, &in); err == nil {
			err = peer.Receiver().Fetch(&in, &out)
		}
		answer = out
	default:
		return fmt.Errorf("unexpected call of %s", method)
	}
	if err != nil {
		return err
	}
	requestSize := len(data)
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	if peer.cfg.Self.DataCentre != c.cfg.Self.DataCentre {
		c.f.bytes.Add(int64(requestSize + len(data)))
	}
	return json.Unmarshal(data, reply)
}

// add starts a VM with vm-00 as its seed. The id of the VM is also its address.
func (f *fabric) add(i int) *testCrew {
	id := siskin.VMID(fmt.Sprintf("vm-%02d", i))
	l := logs.New("error", "json", io.Discard)
	c := &testCrew{f: f, table: table.New(), roster: roster.New(), views: views.New()}
	homes := home.New(home.Config{Clock: boot.Clock{}, Views: c.views})
	c.Crew = New(Config{
		Clock: boot.Clock{}, Seeds: []string{"vm-00"}, Peers: c, Table: c.table, Roster: c.roster, Views: c.views, Homes: homes, Log: l,
		Self:   Node{ID: id, Run: siskin.Incarnation(time.Now().UnixNano()), DataCentre: siskin.DataCentreID(fmt.Sprint("dc-", i%3)), Address: string(id)},
		IsHome: func(siskin.TargetID) bool { return id == "vm-00" },
		PriorityPeers: func() PriorityPeers {
			return PriorityPeers{Homes: map[siskin.VMID]bool{"vm-00": true}, StandbyFor: map[siskin.VMID]bool{"vm-00": id == "vm-03" || id == "vm-06"}}
		},
		Apply: func(encoded []byte, _ string) {
			d := testDeployment()
			if json.Unmarshal(encoded, &d.Version) == nil {
				c.table.Apply(d, encoded)
			}
		},
	})
	f.mu.Lock()
	f.crews[id] = c
	f.mu.Unlock()
	c.Start(quota.New(quota.Config{Clock: boot.Clock{}, Run: 1, Table: c.table, Members: c, Peers: c, Log: l, PingNow: c.PingNow}))
	f.t.Cleanup(func() {
		if err := errors.Join(c.Close(), homes.Close()); err != nil {
			f.t.Error(err)
		}
	})
	return c
}

func testDeployment() *siskin.Deployment {
	return &siskin.Deployment{Version: 1, Services: []siskin.ServiceSpec{{Name: "s"}}}
}

func waitFor(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// TestMembership guards against VMs that do not find each other through a seed,
// and against VMs that stay in use after they stopped answering.
func TestMembership(t *testing.T) {
	t.Parallel()
	f := newFabric(t)
	var crews []*testCrew
	for i := range 5 {
		crews = append(crews, f.add(i))
	}
	complete := func() bool {
		for _, c := range crews {
			if len(c.Live()) != len(crews) {
				return false
			}
		}
		return true
	}
	waitFor(t, "all VMs know each other", 5*time.Second, complete)
	f.setCut("vm-03", true)
	waitFor(t, "the VM that is cut off is not used", 3*time.Second, func() bool { return len(crews[0].Live()) == 4 && len(crews[3].Live()) == 1 })
	f.setCut("vm-03", false)
	waitFor(t, "the VM is used again", 5*time.Second, complete)
	crews[1].Leave()
	waitFor(t, "a leaving VM gets no work", time.Second, func() bool { return len(crews[0].Live()) == 4 })
	crews[0].Suspect("vm-02", errSilent)
	if got := len(crews[0].Live()); got != 3 {
		t.Errorf("VMs in use after a failed call: got %d, want 3", got)
	}
}

// TestGroupsMeet guards against a fleet that stays in two parts, each with homes of
// its own, after a cut during which all VMs started.
func TestGroupsMeet(t *testing.T) {
	t.Parallel()
	f := newFabric(t)
	f.isolate("dc-0")
	var crews []*testCrew
	for i := range 4 {
		crews = append(crews, f.add(i))
	}
	crews[1].Learn(crews[2].Node()) // as from the store
	allHave := func(n int) func() bool {
		return func() bool {
			return !slices.ContainsFunc(crews, func(c *testCrew) bool { return len(c.Live()) != n })
		}
	}
	waitFor(t, "two VMs know each other on either side of the cut", 5*time.Second, allHave(2))
	f.isolate("")
	waitFor(t, "all VMs know each other after the cut", 12*time.Second, allHave(4))
}

// TestEndedProcess guards against a VM that is used for another 0.9 s after its
// process has ended, as if it were only silent. One that is silent must not be
// given up as quickly.
func TestEndedProcess(t *testing.T) {
	t.Parallel()
	f := newFabric(t)
	var crews []*testCrew
	for i := range 3 {
		crews = append(crews, f.add(i))
	}
	waitFor(t, "all VMs know each other", 5*time.Second, func() bool { return len(crews[0].Live()) == 3 && len(crews[1].Live()) == 3 })
	f.setEnded("vm-02", true)
	begun := time.Now()
	crews[0].PingNow("vm-02")
	waitFor(t, "a VM whose process has ended is not used", suspectAfter/2, func() bool { return len(crews[0].Live()) == 2 })
	f.setEnded("vm-02", false)
	waitFor(t, "the VM is used again", 5*time.Second, func() bool { return len(crews[0].Live()) == 3 })
	t.Logf("not used after %v", time.Since(begun))
	f.setCut("vm-02", true)
	crews[0].PingNow("vm-02")
	time.Sleep(suspectAfter / 3)
	if got := len(crews[0].Live()); got != 3 {
		t.Errorf("VMs in use while one is silent for %v: got %d, want 3", suspectAfter/3, got)
	}
}

// TestStateReachesPeers guards against configurations, targets and proofs that
// do not reach a VM without the store, or that have a lower age there than they
// should.
func TestStateReachesPeers(t *testing.T) {
	t.Parallel()
	f := newFabric(t)
	a, b := f.add(0), f.add(1)
	waitFor(t, "the VMs know each other", 5*time.Second, func() bool { return len(b.Live()) == 2 })
	d := testDeployment()
	d.Version = 7
	a.table.Apply(d, []byte("7"))
	read := boot.Clock{}.Now()
	a.table.Confirm(read)
	a.roster.Replace([]siskin.TargetInfo{{ID: "t", Service: "s"}}, 3, read)
	proof := views.PrimaryProof{Target: "t", Position: siskin.Position{Term: 1, LSN: 9}, At: read}
	a.views.RecordProof("s", proof)
	waitFor(t, "the state reaches the other VM", 2*time.Second, func() bool {
		_, known := b.roster.Target("t")
		return b.table.Snapshot().Version == 7 && known && b.views.LatestProof("s").Target == "t" && !b.table.Confirmed().IsZero()
	})
	if got := b.views.LatestProof("s"); got.Position != proof.Position || got.At.After(read) {
		t.Errorf("proof at the other VM: got %+v, want the position and at least the age of %+v", got, proof)
	}
	if got := b.table.Confirmed(); got.After(read) {
		t.Errorf("confirmation of the configuration: got a read at %v, want none after %v", got, read)
	}
}

// TestSizesOfGroups guards against a VM that starts while a target is missing
// from discovery and takes the remaining targets for the whole group.
func TestSizesOfGroups(t *testing.T) {
	f := newFabric(t)
	a := f.add(0)
	now := boot.Clock{}.Now()
	targets := []siskin.TargetInfo{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}}
	a.roster.Replace(targets, 1, now.Add(-2*time.Second))
	a.roster.Replace(targets[:2], 2, now.Add(-time.Second))
	b := f.add(1)
	b.roster.Replace(targets[:2], 2, now)
	waitFor(t, "the size of the group", 2*time.Second, func() bool { return b.roster.Size("s") == len(targets) })
}

// startLarge starts 40 VMs in three data centres that know each other. Tests
// with large fleets do not run in parallel: four of them in one process under
// the race detector delay each other.
func startLarge(t *testing.T, f *fabric) []*testCrew {
	t.Helper()
	var crews []*testCrew
	for i := range 40 {
		crews = append(crews, f.add(i))
	}
	waitFor(t, "all VMs know each other", 20*time.Second, func() bool {
		for _, c := range crews {
			if len(c.Live()) != len(crews) {
				return false
			}
		}
		return true
	})
	// At the start each VM pings every other one once to find out whether it is
	// up.
	time.Sleep(2 * time.Second)
	return crews
}

// TestLargeConfiguration guards against each VM fetching a large configuration
// uncompressed from many peers at once: on links of 10 Mbit/s a change took
// more than 8 s to be in effect.
func TestLargeConfiguration(t *testing.T) {
	f := newFabric(t)
	crews := startLarge(t, f)
	encoded := append([]byte("9"), bytes.Repeat([]byte(` `), 300_000)...)
	d := testDeployment()
	d.Version = 9
	before := f.bytes.Load()
	crews[4].table.Apply(d, encoded)
	waitFor(t, "the configuration reaches all VMs", 3*time.Second, func() bool {
		for _, c := range crews {
			if c.table.Snapshot().Version != 9 {
				return false
			}
		}
		return true
	})
	// Uncompressed, one transfer to each VM alone would take 12 MB.
	if got := f.bytes.Load() - before; got > 3_000_000 {
		t.Errorf("bytes between data centres: got %d, want at most 3,000,000", got)
	}
}

// TestLargeFleet guards against a number of pings that grows with the square of
// the fleet size, and against updates that do not reach all VMs.
func TestLargeFleet(t *testing.T) {
	f := newFabric(t)
	crews := startLarge(t, f)
	d := testDeployment()
	d.Version = 5
	crews[7].table.Apply(d, []byte("5"))
	waitFor(t, "the configuration reaches all VMs", 5*time.Second, func() bool {
		for _, c := range crews {
			if c.table.Snapshot().Version != 5 {
				return false
			}
		}
		return true
	})
	before, bytes := f.pings.Load(), f.bytes.Load()
	const span = 3 * time.Second
	time.Sleep(span)
	// One priority peer and one distant peer in each interval, and half a ping
	// more for peers that answered late.
	most := int64(2.5 * float64(len(crews)) * span.Seconds() / pingInterval.Seconds())
	if got := f.pings.Load() - before; got > most {
		t.Errorf("pings of %d VMs in %v: got %d, want at most %d", len(crews), span, got, most)
	}
	// The requirement is at most 7 KB/s for all control traffic of a VM.
	got := float64(f.bytes.Load()-bytes) / span.Seconds() / float64(len(crews))
	t.Logf("%.1f pings and %.0f bytes between data centres per VM and second", float64(f.pings.Load()-before)/span.Seconds()/float64(len(crews)), got)
	if got > 7000 {
		t.Errorf("bytes of pings between data centres per VM and second: got %.0f, want at most 7000", got)
	}
}

// TestProofAgeInLargeFleet guards against VMs of a large fleet that learn
// positions from relays too late for reads with a staleness of 1.5 s.
func TestProofAgeInLargeFleet(t *testing.T) {
	f := newFabric(t)
	crews := startLarge(t, f)
	d := testDeployment()
	d.Version = 3
	for _, c := range crews {
		c.table.Apply(d, []byte("3"))
	}
	clock := boot.Clock{}
	var oldest time.Duration
	for i := range 20 {
		// The home of the primary records new proofs periodically.
		crews[0].views.RecordProof("s", views.PrimaryProof{Target: "t", Position: siskin.Position{Term: 1, LSN: siskin.LSN(i + 1)}, At: clock.Now()})
		time.Sleep(100 * time.Millisecond)
		for _, c := range crews {
			if age := clock.Since(c.views.LatestProof("s").At); i >= 10 && age > oldest {
				oldest = age
			}
		}
	}
	if most := 900 * time.Millisecond; oldest > most {
		t.Errorf("oldest proof: got %v, want at most %v", oldest, most)
	}
}

// TestRemovedVMs guards against marking a data centre as silent because its
// removed VMs do not answer and the other ones answer slightly late.
func TestRemovedVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Config{Clock: boot.Clock{}, Self: Node{ID: "vm", DataCentre: "a"}, Log: logs.New("error", "json", io.Discard)})
	add := func(id siskin.VMID, lastHeard time.Duration, pingFailed bool) {
		c.members[id] = &member{node: Node{ID: id, DataCentre: "b"}, lastHeard: now.Add(-lastHeard), pingFailed: pingFailed}
	}
	add("removed-1", time.Minute, true)
	add("removed-2", time.Hour, true)
	add("relay-1", time.Second, false)
	add("relay-2", time.Second, true)
	c.detectSilent(now)
	if len(c.silentUntil) > 0 {
		t.Errorf("silent data centres with one VM that failed: got %v, want none", c.silentUntil)
	}
	add("relay-1", time.Second, true)
	c.detectSilent(now)
	if len(c.silentUntil) != 1 {
		t.Errorf("silent data centres when both relays failed: got %v, want b", c.silentUntil)
	}
}

// TestSilentDataCentre guards against excluding the VMs of an isolated data
// centre one by one. The homes of the targets there, and the watchers of their
// primaries, then moved to further unreachable VMs for as long as the cut
// lasted.
func TestSilentDataCentre(t *testing.T) {
	f := newFabric(t)
	crews := startLarge(t, f)
	f.isolate("dc-2")
	count := func(c *testCrew) (here, there int) {
		for _, vm := range c.Live() {
			if (vm.DataCentre == "dc-2") == (c.cfg.Self.DataCentre == "dc-2") {
				here++
			} else {
				there++
			}
		}
		return here, there
	}
	waitFor(t, "no VM on the other side of the cut is used", 3*time.Second, func() bool {
		for _, c := range crews {
			if _, there := count(c); there > 0 {
				return false
			}
		}
		return true
	})
	for _, c := range crews {
		want := 27
		if c.cfg.Self.DataCentre == "dc-2" {
			want = 13
		}
		if here, _ := count(c); here != want {
			t.Errorf("%s uses %d VMs on its side of the cut, want %d", c.cfg.Self.ID, here, want)
		}
		if got := c.Isolated(); got != (want == 13) {
			t.Errorf("%s reports that it is isolated: got %v, want %v", c.cfg.Self.ID, got, want == 13)
		}
	}
	f.isolate("")
	waitFor(t, "all VMs are used again", 10*time.Second, func() bool {
		for _, c := range crews {
			if len(c.Live()) != len(crews) || c.Isolated() {
				return false
			}
		}
		return true
	})
}

// TestLeaveNoticesInLargeFleet guards against VMs of a large fleet that notify
// all others when they stop, which kept the owners of pools busy during a
// rolling restart.
func TestLeaveNoticesInLargeFleet(t *testing.T) {
	countNotified := func(needed bool) int {
		c := New(Config{Clock: boot.Clock{}, Self: Node{ID: "vm-000", DataCentre: "a"}, Log: logs.New("error", "json", io.Discard)})
		c.limiter = quota.New(quota.Config{Clock: boot.Clock{}, Members: c, Log: c.cfg.Log, Table: table.New()})
		for i := 1; i < 295; i++ {
			id := siskin.VMID(fmt.Sprintf("vm-%03d", i))
			c.Learn(Node{ID: id, Run: 1, Address: string(id), DataCentre: siskin.DataCentreID("abcdef"[i%6 : i%6+1])})
		}
		c.priority.ServesOthers = needed
		c.mu.Lock()
		c.updateLive()
		c.choosePeers(c.cfg.Clock.Now())
		for _, m := range c.members {
			m.interval, m.nextPing = 0, c.cfg.Clock.Now().Add(unscheduled)
		}
		c.relay = false
		c.mu.Unlock()
		c.Leave()
		n := 0
		for _, m := range c.members {
			if m.nextPing.IsZero() {
				n++
			}
		}
		return n
	}
	// It watches three VMs of its own data centre and one of each other one,
	// and each data centre has two relays.
	if got, most := countNotified(false), 3+5+6*relayCount; got == 0 || got > most {
		t.Errorf("VMs notified by a VM that serves no others: got %d, want 1 to %d", got, most)
	}
	if got, want := countNotified(true), 294; got != want {
		t.Errorf("VMs notified by a home: got %d, want %d", got, want)
	}
}
