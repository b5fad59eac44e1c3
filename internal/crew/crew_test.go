package crew

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
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

// fabric connects the crews of a test and loses what goes over cut links.
type fabric struct {
	t     *testing.T
	mu    sync.Mutex
	crews map[siskin.VMID]*testCrew
	cut   map[siskin.VMID]bool // VMs that nobody reaches and that reach nobody
	pings atomic.Int64
}

type testCrew struct {
	*Crew
	f      *fabric
	table  *table.Table
	roster *roster.Roster
	views  *views.Views
}

func newFabric(t *testing.T) *fabric {
	return &fabric{t: t, crews: make(map[siskin.VMID]*testCrew), cut: make(map[siskin.VMID]bool)}
}

func (f *fabric) setCut(id siskin.VMID, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[id] = on
}

func (f *fabric) find(from, to siskin.VMID) *testCrew {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, c := range f.crews {
		if (id == to || siskin.AddressID(string(id)) == to) && !f.cut[id] && !f.cut[from] {
			return c
		}
	}
	return nil
}

var errSilent = errors.New("no answer")

// Call implements siskin.Peers. Messages are encoded, as between VMs.
func (c *testCrew) Call(_ context.Context, to siskin.VMID, method string, args, reply any) error {
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
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(data, reply)
}

// add starts a VM that knows the first one as its seed. Its id is its address.
func (f *fabric) add(i int) *testCrew {
	id := siskin.VMID(fmt.Sprintf("vm-%02d", i))
	l := logs.New("error", "json", io.Discard)
	c := &testCrew{f: f, table: table.New(), roster: roster.New(), views: views.New()}
	homes := home.New(home.Config{Clock: boot.Clock{}, Views: c.views})
	c.Crew = New(Config{
		Clock: boot.Clock{}, Seeds: []string{"vm-00"}, Peers: c, Table: c.table, Roster: c.roster, Views: c.views, Homes: homes, Log: l,
		Self:   Node{ID: id, Run: siskin.Incarnation(time.Now().UnixNano()), DataCentre: siskin.DataCentreID(fmt.Sprint("dc-", i%3)), Address: string(id)},
		IsHome: func(siskin.TargetID) bool { return id == "vm-00" },
		Near:   func() map[siskin.VMID]bool { return map[siskin.VMID]bool{"vm-00": true} },
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
	c.Start(quota.New(quota.Config{Clock: boot.Clock{}, Run: 1, Table: c.table, Members: c, Peers: c, Log: l}))
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

func await(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// TestMembership guards against VMs that do not find each other through a seed,
// and against ones that stay in use after they went silent.
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
	await(t, "all VMs know each other", 5*time.Second, complete)
	f.setCut("vm-03", true)
	await(t, "the silent VM is not used", 3*time.Second, func() bool { return len(crews[0].Live()) == 4 && len(crews[3].Live()) == 1 })
	f.setCut("vm-03", false)
	await(t, "it is used again", 5*time.Second, complete)
	crews[1].Leave()
	await(t, "a leaving VM gets no work", time.Second, func() bool { return len(crews[0].Live()) == 4 })
	crews[0].Suspect("vm-02", errSilent)
	if got := len(crews[0].Live()); got != 3 {
		t.Errorf("VMs in use after a failed call: got %d, want 3", got)
	}
}

// TestNews guards against configurations, targets and proofs that do not reach a
// VM without the store, or that look younger there than they are.
func TestNews(t *testing.T) {
	t.Parallel()
	f := newFabric(t)
	a, b := f.add(0), f.add(1)
	await(t, "the VMs know each other", 5*time.Second, func() bool { return len(b.Live()) == 2 })
	d := testDeployment()
	d.Version = 7
	a.table.Apply(d, []byte("7"))
	read := boot.Clock{}.Now()
	a.table.Confirm(read)
	a.roster.Replace([]siskin.TargetInfo{{ID: "t", Service: "s"}}, 3, read)
	proof := views.Lead{Target: "t", Position: siskin.Position{Term: 1, LSN: 9}, At: read}
	a.views.Proven("s", proof)
	await(t, "the news arrive", 2*time.Second, func() bool {
		_, known := b.roster.Target("t")
		return b.table.Snapshot().Version == 7 && known && b.views.Lead("s").Target == "t" && !b.table.Confirmed().IsZero()
	})
	if got := b.views.Lead("s"); got.Position != proof.Position || got.At.After(read) {
		t.Errorf("proof at the other VM: got %+v, want the position and no younger age than %+v", got, proof)
	}
	if got := b.table.Confirmed(); got.After(read) {
		t.Errorf("age of the configuration: got a read at %v, want none after %v", got, read)
	}
}

// TestLargeFleet guards against pings that grow with the square of the fleet,
// and against news that do not reach all of it.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	f := newFabric(t)
	var crews []*testCrew
	for i := range 40 {
		crews = append(crews, f.add(i))
	}
	await(t, "all VMs know each other", 20*time.Second, func() bool {
		for _, c := range crews {
			if len(c.Live()) != len(crews) {
				return false
			}
		}
		return true
	})
	// At first each VM pings every other one once, to learn that it lives.
	time.Sleep(2 * time.Second)
	d := testDeployment()
	d.Version = 5
	crews[7].table.Apply(d, []byte("5"))
	await(t, "the configuration reaches all VMs", 5*time.Second, func() bool {
		for _, c := range crews {
			if c.table.Snapshot().Version != 5 {
				return false
			}
		}
		return true
	})
	before := f.pings.Load()
	const span = 3 * time.Second
	time.Sleep(span)
	// One near and one distant peer in each interval, and a half for pings of
	// peers that answered late.
	most := int64(2.5 * float64(len(crews)) * span.Seconds() / pingInterval.Seconds())
	if got := f.pings.Load() - before; got > most {
		t.Errorf("pings of %d VMs in %v: got %d, want at most %d", len(crews), span, got, most)
	}
}
