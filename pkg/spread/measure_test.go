package spread

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/peer"
	"siskintray.example/siskin/internal/stand/objapi"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/plat"
)

var measure = flag.Bool("measure", false, "measure the spread up to 300 VMs over loopback and the memory at 23,000 services")

// loopbackVM is a VM with TCP connections on the loopback interface and a fixed
// list of members.
type loopbackVM struct {
	*Spread
	vm             siskin.VM
	all            *[]siskin.VM
	peerServer     *peer.Server
	peerClient     *peer.Client
	platformClient *plat.Client
}

// Self implements siskin.Members.
func (v *loopbackVM) Self() siskin.VM { return v.vm }

// Live implements siskin.Members.
func (v *loopbackVM) Live() []siskin.VM { return *v.all }

// Lookup implements siskin.Members.
func (v *loopbackVM) Lookup(id siskin.VMID) (siskin.VM, bool) {
	i := slices.IndexFunc(*v.all, func(vm siskin.VM) bool { return vm.ID == id })
	return (*v.all)[i], true
}

// Changed implements siskin.Members.
func (v *loopbackVM) Changed() <-chan struct{} { return nil }

func startLoopbackFleet(t *testing.T, n int, platform string) []*loopbackVM {
	t.Helper()
	var vms []*loopbackVM
	all := new([]siskin.VM)
	for i := range n {
		v := &loopbackVM{all: all, vm: siskin.VM{ID: siskin.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: siskin.DataCentreID(fmt.Sprint(i % 4))}}
		var err error
		if v.peerServer, err = peer.Listen(peer.Config{Self: v.vm.ID}, "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		v.vm.PeerAddress = v.peerServer.Address()
		v.peerClient = peer.NewClient(peer.Config{Self: v.vm.ID}, func(id siskin.VMID) (string, bool) {
			vm, ok := v.Lookup(id)
			return vm.PeerAddress, ok
		})
		if v.platformClient, err = plat.New(plat.Config{Addresses: []string{platform}, CallsPerSecond: 100, Burst: 200}); err != nil {
			t.Fatal(err)
		}
		v.Spread = New(Config{}, v, v.peerClient, v.platformClient)
		if err := v.peerServer.Register("Spread", v.Receiver()); err != nil {
			t.Fatal(err)
		}
		v.peerServer.Serve()
		*all = append(*all, v.vm)
		vms = append(vms, v)
	}
	for _, v := range vms {
		v.Start()
	}
	return vms
}

func closeLoopback(vms []*loopbackVM) {
	var done sync.WaitGroup
	for _, v := range vms {
		done.Go(func() { _, _, _, _ = v.Close(), v.peerClient.Close(), v.peerServer.Close(), v.platformClient.Close() })
	}
	done.Wait()
}

func sentBytes(vms []*loopbackVM) (n int64) {
	for _, v := range vms {
		n += v.peerClient.Stats().Total().SentBytes + v.peerServer.Stats().Total().SentBytes
	}
	return n
}

func service(i int, rev siskin.Revision) *config.Service {
	// The routes pad the document to about 2 KB.
	s := &config.Service{Name: siskin.ServiceName(fmt.Sprintf("service-%d", i)), Slots: 2, ConnectionsPerSlot: 16, AckReplicas: 1, Revision: rev, MaxUnconfirmed: config.Duration(time.Second)}
	s.Credentials = config.Credentials{User: "u", Password: "p", ReadUser: "r", ReadPassword: "q", Database: "d"}
	for k := range 3 {
		s.Targets = append(s.Targets, config.Target{ID: siskin.TargetID(fmt.Sprintf("%s/%d", s.Name, k)), DataCentre: "turku-1", Address: fmt.Sprintf("10.%d.%d.%d:5432", k, i/256, i%256)})
	}
	for k := range 8 {
		s.Routes = append(s.Routes, config.Route{Name: siskin.RouteName(fmt.Sprintf("route-%d-%s", k, strings.Repeat("x", 55))), Mode: config.ReadRoute, Repeatable: true, Deadline: config.Duration(time.Second)})
	}
	return s
}

// TestLoopbackSpread guards against changes that are not in force at all VMs
// within 9 s, and against watches on the platform that grow with the number of
// VMs.
func TestLoopbackSpread(t *testing.T) {
	sizes, changes := []int{7}, 10
	if !*measure {
		t.Parallel()
	} else {
		sizes, changes = []int{7, 50, 300}, 100
	}
	for _, n := range sizes {
		platform, err := objapi.Start(objapi.Config{})
		if err != nil {
			t.Fatal(err)
		}
		vms := startLoopbackFleet(t, n, platform.Address())
		applyAndWait(t, vms, 1)
		time.Sleep(2 * time.Second) // wait for connections and the first status write
		calls, begun := platform.Stats().Total(), time.Now()
		idleBytes := sentBytes(vms)
		time.Sleep(3 * time.Second)
		idle := float64(platform.Stats().Total()-calls) / time.Since(begun).Seconds()
		waiting := platform.Stats().Waiting
		idleRate := float64(sentBytes(vms)-idleBytes) / time.Since(begun).Seconds() / float64(n)
		before, begun := sentBytes(vms), time.Now()
		times := applyAndWait(t, vms, changes)
		perChange := (float64(sentBytes(vms)-before)/float64(n) - idleRate*time.Since(begun).Seconds()) / float64(changes)
		slices.Sort(times)
		at := func(q float64) time.Duration {
			return times[int(q*float64(len(times)-1))].Round(100 * time.Microsecond)
		}
		t.Logf("%d VMs, %d changes: in force everywhere after p50 %v, p99 %v, max %v; %.0f bytes per VM and change; idle: %.0f bytes/s per VM, %.1f platform calls/s, %d waiting watches",
			n, changes, at(0.5), at(0.99), at(1), perChange, idleRate, idle, waiting)
		if at(1) > maxSpreadTime {
			t.Errorf("%d VMs: got %v, want at most %v", n, at(1), maxSpreadTime)
		}
		if got := platform.Stats().MaxWaiting; got > 4*watcherCount {
			t.Errorf("%d VMs: got %d waiting watches, want at most %d", n, got, 4*watcherCount)
		}
		closeLoopback(vms)
		_ = platform.Close()
	}
}

func applyAndWait(t *testing.T, vms []*loopbackVM, changes int) (times []time.Duration) {
	t.Helper()
	for i := range changes {
		begun := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), maxSpreadTime)
		rev, err := vms[i%len(vms)].Apply(ctx, &config.Change{Base: vms[0].Revision(), Services: []*config.Service{service(i, 0)}})
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range vms {
			for v.Revision() < rev && time.Since(begun) < maxSpreadTime {
				time.Sleep(200 * time.Microsecond)
			}
		}
		times = append(times, time.Since(begun))
	}
	return times
}

// TestMemory guards against a store that exceeds the memory limit of 256 MB at
// 23,000 services.
func TestMemory(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	s := newStore()
	size := 0
	for i := range 23000 {
		rev := siskin.Revision(i + 1)
		body, _ := json.Marshal(service(i, rev))
		size += len(body)
		e, err := decode(Document{Kind: ServiceKind, Name: fmt.Sprintf("service-%d", i), Revision: rev, Body: body})
		if err != nil {
			t.Fatal(err)
		}
		s.install([]*entry{e}, rev)
	}
	s.Services()
	used := heap() - before
	t.Logf("23,000 services of %d bytes: %d MB on the heap", size/23000, used>>20)
	if used > 256<<20 {
		t.Errorf("got %d MB, want at most 256 MB", used>>20)
	}
	runtime.KeepAlive(s)
}

// BenchmarkService measures concurrent reads of a service, which must not
// allocate.
func BenchmarkService(b *testing.B) {
	s := newStore()
	for i := range 1000 {
		e := &entry{Document: Document{Kind: ServiceKind, Name: fmt.Sprintf("service-%d", i), Revision: 1}, service: service(i, 1)}
		s.install([]*entry{e}, 1)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, ok := s.Service("service-500"); !ok {
				b.Error("got no service")
			}
		}
	})
}
