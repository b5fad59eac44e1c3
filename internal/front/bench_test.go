package front

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"testing"
	"time"

	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/pool"
)

func benchmarkStatements(b *testing.B, route string, forwarded bool, rows int) {
	run := statementRunner(b, route, forwarded, rows)
	b.ReportAllocs()
	for b.Loop() {
		run()
	}
}

func BenchmarkReadLocal(b *testing.B)      { benchmarkStatements(b, "aged", false, 1) }
func BenchmarkReadForwarded(b *testing.B)  { benchmarkStatements(b, "aged", true, 1) }
func BenchmarkWriteLocal(b *testing.B)     { benchmarkStatements(b, "write", false, 1) }
func BenchmarkRead10kRows(b *testing.B)    { benchmarkStatements(b, "aged", false, 10_000) }
func BenchmarkWriteForwarded(b *testing.B) { benchmarkStatements(b, "write", true, 1) }

// TestAllocationsDoNotGrowWithAnswer guards against allocating a buffer per
// row.
func TestAllocationsDoNotGrowWithAnswer(t *testing.T) {
	if raceEnabled {
		t.Skip("sync.Pool drops buffers at random under the race detector")
	}
	one := testing.AllocsPerRun(50, statementRunner(t, "aged", false, 1))
	many := testing.AllocsPerRun(50, statementRunner(t, "aged", false, 10_000))
	t.Logf("%.0f allocations for 1 row, %.0f for 10,000", one, many)
	if got, want := many, one+20; got > want {
		t.Errorf("got %.0f allocations for 10,000 rows, want at most %.0f", got, want)
	}
}

// TestIdleConnectionMemory guards against an idle connection that uses more
// than 16 KB of memory.
func TestIdleConnectionMemory(t *testing.T) {
	const n, want = 1000, 16 << 10
	f := startFleet(t, 1, nil)
	before := memoryInUse()
	var conns []net.Conn
	for range n {
		conn, r := f.vms[0].benchClient(t, "write")
		if _, err := conn.Write(benchQuery); err != nil {
			t.Fatal(err)
		}
		if err := readAnswer(r); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	got := (memoryInUse() - before) / n
	t.Logf("%d bytes of heap and stack per idle connection, the client's end included", got)
	if got > want {
		t.Errorf("got %d bytes per idle connection, want at most %d", got, want)
	}
	runtime.KeepAlive(conns)
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkLatency sends single statements at light load, in turn directly to a
// target, through the slot's home and through another VM, so that all three
// paths run under the same load of the machine.
func BenchmarkLatency(b *testing.B) {
	f := startFleet(b, 2, nil)
	f.firstOwnsAll.Store(true)
	for _, vm := range f.vms {
		vm.ownSlots()
	}
	direct := f.dialTarget(b)
	local, localR := f.vms[0].benchClient(b, "aged")
	far, farR := f.vms[1].benchClient(b, "aged")
	paths := []struct {
		name string
		conn net.Conn
		r    *frame.Reader
		took []time.Duration
	}{{"direct", direct, frame.NewReader(direct), nil}, {"local", local, localR, nil}, {"forwarded", far, farR, nil}}
	for b.Loop() {
		for i := range paths {
			e := &paths[i]
			start := time.Now()
			if _, err := e.conn.Write(benchQuery); err != nil {
				b.Fatal(err)
			}
			if err := readAnswer(e.r); err != nil {
				b.Fatal(e.name, err)
			}
			e.took = append(e.took, time.Since(start))
			time.Sleep(200 * time.Microsecond)
		}
	}
	for _, e := range paths {
		slices.Sort(e.took)
		n := len(e.took)
		b.ReportMetric(float64(e.took[n/2].Microseconds()), e.name+"-p50-us")
		b.ReportMetric(float64(e.took[n*99/100].Microseconds()), e.name+"-p99-us")
	}
}

// dialTarget opens a connection to the first replica without a VM in between.
func (f *fleet) dialTarget(tb testing.TB) net.Conn {
	d, err := pool.NewPGDialer(nil)
	if err != nil {
		tb.Fatal(err)
	}
	o, err := d.Dial(context.Background(), pool.Key{Slot: 1}, pool.SlotConfig{
		Address: f.targets[1].Address(), Credentials: f.service.Credentials,
	}, pool.ReadOnly)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { o.Conn.Close() })
	return o.Conn
}

// BenchmarkThroughput runs many sessions against a canned target. Statements
// per second divided by the cores in use gives statements per second and core.
func BenchmarkThroughput(b *testing.B) {
	b.Run("Direct", benchmarkDirect) // measures the share of the client and the target
	for _, forwarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("Forwarded=%v", forwarded), func(b *testing.B) {
			f := startFleet(b, 2, nil)
			f.firstOwnsAll.Store(true)
			f.dialCanned(cannedTarget{rows: 1})
			vm := f.vms[0]
			if forwarded {
				vm = f.vms[1]
			}
			b.SetParallelism(4)
			cpu := cpuTime()
			b.RunParallel(func(pb *testing.PB) {
				conn, r := vm.benchClient(b, "aged")
				for pb.Next() {
					if _, err := conn.Write(benchQuery); err != nil {
						b.Error(err)
						return
					}
					if err := readAnswer(r); err != nil {
						b.Error(err)
						return
					}
				}
			})
			used := cpuTime() - cpu
			b.ReportMetric(float64(b.N)/used.Seconds(), "statements/core-s")
		})
	}
}

func benchmarkDirect(b *testing.B) {
	b.SetParallelism(4)
	cpu := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		o, err := cannedTarget{rows: 1}.Dial(context.Background(), pool.Key{}, pool.SlotConfig{}, pool.Full)
		if err != nil {
			b.Error(err)
			return
		}
		defer o.Conn.Close()
		r := frame.NewReader(o.Conn)
		for pb.Next() {
			if _, err := o.Conn.Write(benchQuery); err != nil {
				b.Error(err)
				return
			}
			if err := readAnswer(r); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/(cpuTime()-cpu).Seconds(), "statements/core-s")
}
