package bench

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
)

// Stated bounds of what a node spends for control.
const (
	maxControlBytes = 7000  // bytes a second
	maxControlCPU   = 0.047 // of a core
)

// settle lets the fleet finish its start before it is measured.
const settle = 2 * time.Second

// runFootprint measures what control costs per VM, without callers, by the
// number of VMs, services and customers, and the memory of a caller connection.
func runFootprint(ctx context.Context, e *env) error {
	for _, vms := range []int{4, 8, 16, 32} {
		p := e.Profile
		p.VMs, p.Services = vms, p.Services[:1]
		if err := e.footprint(ctx, p, fmt.Sprintf("%d VMs", vms)); err != nil {
			return err
		}
	}
	for _, services := range []int{1, 8, 24} {
		p := e.Profile
		p.Services = nil
		for i := range services {
			p.Services = append(p.Services, siskin.ServiceName(fmt.Sprintf("service-%d", i)))
		}
		if err := e.footprint(ctx, p, fmt.Sprintf("%d services", services)); err != nil {
			return err
		}
	}
	for _, customers := range []int{8, 800} {
		p := e.Profile
		p.Services, p.Customers = p.Services[:1], nil
		for i := range customers {
			p.Customers = append(p.Customers, load.Customer{ID: siskin.CustomerID(fmt.Sprintf("customer-%d", i)), Rate: 10, Burst: 10, Weight: 1})
		}
		if err := e.footprint(ctx, p, fmt.Sprintf("%d customers", customers)); err != nil {
			return err
		}
	}
	return e.connectionMemory(ctx, 500)
}

// usage is what has been used so far: processor time by this process, which
// holds the VMs alone, and control traffic by the VMs.
type usage struct {
	cpu             time.Duration
	bytes, messages int64
	platform        int64
	statements      int
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // fails only for a bad argument
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// count reads all counts but the processor time.
func (u *usage) count(f *fleet.Fleet, r *fleet.Remote) (err error) {
	for _, vm := range f.VMs {
		c := vm.ControlStats()
		u.bytes += c.Bytes
		u.messages += c.Messages
	}
	if u.platform, err = r.PlatformCalls(); err != nil {
		return err
	}
	u.statements, err = r.Statements()
	return err
}

func (e *env) footprint(ctx context.Context, p load.Profile, name string) error {
	e.Progress(name)
	r, err := fleet.StartRemote(p)
	if err != nil {
		return err
	}
	defer r.Close()
	f, err := e.start(ctx, p, fleet.WithRemote(r))
	if err != nil {
		return err
	}
	defer f.Close()
	time.Sleep(settle)
	var before, after usage
	if err := before.count(f, r); err != nil {
		return err
	}
	began := time.Now()
	before.cpu = processorTime()
	time.Sleep(e.Duration)
	after.cpu = processorTime()
	perVM := 1 / time.Since(began).Seconds() / float64(p.VMs)
	if err := after.count(f, r); err != nil {
		return err
	}
	e.result.addBounded(name+": control bytes sent and received per VM", float64(after.bytes-before.bytes)*perVM, maxControlBytes, "B/s")
	e.result.add(name+": control messages per VM", float64(after.messages-before.messages)*perVM, "/s")
	e.result.addBounded(name+": processor time per VM", 100*(after.cpu-before.cpu).Seconds()*perVM, 100*maxControlCPU, "% of a core")
	e.result.add(name+": platform calls, whole fleet", float64(after.platform-before.platform)*perVM*float64(p.VMs), "/s")
	e.result.add(name+": target probes per VM", float64(after.statements-before.statements)*perVM, "/s")
	e.result.add(name+": heap per VM", heap()/float64(p.VMs), "KB")
	return nil
}

// heap returns the live heap in KB.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse+m.StackInuse) / 1024
}

// connectionMemory measures the memory of idle caller connections, both ends
// of each included.
func (e *env) connectionMemory(ctx context.Context, n int) error {
	p := e.Profile
	p.Services, p.OneWay, p.ClientOneWay = p.Services[:1], 0, 0
	f, err := e.start(ctx, p)
	if err != nil {
		return err
	}
	defer f.Close()
	before := heap()
	var conns []*pgx.Conn
	for range n {
		conn, err := e.connect(ctx, f, 0, p.Customers[0].ID)
		if err != nil {
			return err
		}
		defer conn.Close(ctx)
		conns = append(conns, conn)
	}
	e.result.add(fmt.Sprintf("memory per idle caller connection, both ends, %d connections", len(conns)), (heap()-before)/float64(n), "KB")
	return nil
}
