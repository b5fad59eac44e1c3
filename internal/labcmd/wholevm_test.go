package labcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
)

var (
	measure  = flag.Bool("measure", false, "measure whole VMs with 7,500 connections")
	heapFile = flag.String("heap", "", "file for a profile of the heap with idle connections")
	plain    = flag.Bool("plain", false, "without TLS, to tell its share")
	writeOne = flag.Int("writeone", 5, "one connection in so many writes")
)

// Aims of a node at the planned size.
const (
	aimStatements = 8930 // a second, on two cores
	aimConnection = 16   // KB of an idle connection
)

// TestWholeVM guards against whole VMs that fail statements of callers with TLS
// forwarded over mutual TLS. With -measure it runs 7,500 connections, mixed
// reads and writes, and holds the aims; stand-ins and callers run in processes
// of their own, so that processor time and heap are those of two VMs.
func TestWholeVM(t *testing.T) {
	connections, duration := 50, 300*time.Millisecond
	if *measure {
		connections, duration = 7500, 8*time.Second
	}
	f := startWhole(t)
	heap, stacks := liveMemory()
	c := startWholeCallers(t, wholePlan(f, connections))
	memory := perConnection(t, "memory of an idle connection", heap, stacks, connections)
	writeHeap(t)
	direct := startWholeCallers(t, directPlan(f))
	for range 2 { // in turns, so that both see the same machine
		base := direct.run(t, callersRun{Duration: duration / 4, Workers: 1, Pause: time.Millisecond})
		light := c.run(t, callersRun{Duration: duration / 4, Workers: 1, Pause: time.Millisecond})
		t.Logf("one statement at a time: p50 %v, p99 %v; directly at the primary p50 %v, p99 %v", light.P50, light.P99, base.P50, base.P99)
	}
	c.run(t, callersRun{Duration: duration / 4, Workers: 40}) // pools open their connections
	cpu, began := processorTime(), time.Now()
	full := c.run(t, callersRun{Duration: duration, Workers: 40})
	spent, elapsed := processorTime()-cpu, time.Since(began)
	perCore := float64(full.Statements) / spent.Seconds()
	t.Logf("40 statements in progress: %.0f/s, p50 %v, p99 %v", float64(full.Statements)/elapsed.Seconds(), full.P50, full.P99)
	t.Logf("processor time of the VMs: %.1f us a statement, %.0f statements/s on two cores", 1e6/perCore, 2*perCore)
	if !*measure {
		return
	}
	time.Sleep(2 * time.Second) // sessions that are idle for 1 s free their stacks
	perConnection(t, "memory of a connection after the load", heap, stacks, connections)
	if 2*perCore < aimStatements {
		t.Errorf("statements/s on two cores: got %.0f, the aim is %d", 2*perCore, aimStatements)
	}
	if memory > aimConnection {
		t.Errorf("memory of an idle connection: got %.1f KB, the aim is %d KB", memory, aimConnection)
	}
}

// startWhole starts two VMs of one data centre, so that about half of the
// statements of the first are forwarded to the second.
func startWhole(t *testing.T) *fleet.Fleet {
	t.Helper()
	p := load.Syntyma()
	p.VMs, p.Services, p.DataCentres = 2, p.Services[:1], p.DataCentres[:1]
	p.OneWay, p.ClientOneWay = 0, 0
	p.Customers = []load.Customer{{ID: "shop", Rate: 1e6, Burst: 1e6, Weight: 1}}
	r, err := fleet.StartRemote(p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	opts := []fleet.Option{fleet.WithRemote(r)}
	if !*plain {
		opts = append(opts, fleet.WithTLS())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	f, err := fleet.Start(ctx, p, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	s := f.Service(p.Services[0])
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", s.Credentials.User, s.Credentials.Password, s.Targets[0].Address, s.Credentials.Database))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('k', 'v')"); err != nil {
		t.Fatal(err)
	}
	return f
}

// wholeCallers is the process of the callers.
type wholeCallers struct {
	in  *json.Encoder
	out *json.Decoder
}

// wholePlan opens the connections to the first VM.
func wholePlan(f *fleet.Fleet, connections int) callersPlan {
	service := string(f.Profile.Services[0])
	plan := callersPlan{
		Address: f.Addresses()[0], Customer: "shop", Key: f.Keys[siskin.CustomerID("shop")],
		Reads: service + "/" + string(fleet.AgedRoute), Writes: service + "/" + string(fleet.WriteRoute),
		Connections: connections, WriteOne: *writeOne,
	}
	if !*plain {
		plan.CA = f.CertFile()
	}
	return plan
}

// directPlan opens as many connections to the primary as a slot has, without a
// VM and without waits for replicas.
func directPlan(f *fleet.Fleet) callersPlan {
	s := f.Service(f.Profile.Services[0])
	return callersPlan{
		Address: s.Targets[0].Address, Customer: s.Credentials.User, Key: s.Credentials.Password,
		Reads: s.Credentials.Database, Writes: s.Credentials.Database,
		Connections: s.ConnectionsPerSlot, WriteOne: *writeOne,
	}
}

func startWholeCallers(t *testing.T, plan callersPlan) *wholeCallers {
	t.Helper()
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := &exec.Cmd{Path: path, Args: []string{os.Args[0], "callers"}, Stderr: os.Stderr}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = stdin.Close() // ends the process
		_ = cmd.Wait()
	})
	c := &wholeCallers{json.NewEncoder(stdin), json.NewDecoder(stdout)}
	c.exchange(t, plan)
	return c
}

// exchange sends one order and returns its answer.
func (c *wholeCallers) exchange(t *testing.T, order any) (result callersResult) {
	t.Helper()
	if err := c.in.Encode(order); err != nil {
		t.Fatal(err)
	}
	if err := c.out.Decode(&result); err != nil {
		t.Fatalf("callers: %v", err)
	}
	return result
}

func (c *wholeCallers) run(t *testing.T, run callersRun) callersResult {
	t.Helper()
	result := c.exchange(t, run)
	if result.Failed > 0 || result.Statements == 0 {
		t.Fatalf("callers: got %d failures of %d statements, want none of some: %s", result.Failed, result.Statements, result.FirstError)
	}
	return result
}

func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // fails only for a bad argument
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// liveMemory returns the bytes of heap and stacks in use. Two collections empty
// the pools.
func liveMemory() (heap, stacks int64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse), int64(m.StackInuse)
}

// perConnection returns the growth of the memory in KB a connection.
func perConnection(t *testing.T, name string, heap, stacks int64, connections int) float64 {
	h, s := liveMemory()
	per := func(n int64) float64 { return float64(n) / 1024 / float64(connections) }
	t.Logf("%s: %.1f KB, of which stacks %.1f KB", name, per(h-heap+s-stacks), per(s-stacks))
	return per(h - heap + s - stacks)
}

// writeHeap writes a profile of the heap, if one was asked for.
func writeHeap(t *testing.T) {
	if *heapFile == "" {
		return
	}
	var b bytes.Buffer
	if err := pprof.Lookup("heap").WriteTo(&b, 0); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*heapFile, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}
