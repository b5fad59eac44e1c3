package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/stand/objapi"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/keys"
)

// pausableFleet is a fleet in which vm-3, a VM in a separate process, owns all
// slots while it runs. While it is paused, two VMs of another data centre own
// them.
type pausableFleet struct {
	group        []*target.Server
	others       []*Daemon
	vm           *vmProcess
	key          string
	withdrawnKey string // key that is withdrawn during a pause
}

func startPausable(t *testing.T, ctx context.Context) *pausableFleet {
	t.Helper()
	tokenKey := filepath.Join(t.TempDir(), "token.key")
	if err := os.WriteFile(tokenKey, []byte("token key of a test of pauses"), 0o600); err != nil {
		t.Fatal(err)
	}
	platform, err := objapi.Start(objapi.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = platform.Close() })
	f := &pausableFleet{key: keys.Generate(), withdrawnKey: keys.Generate()}
	f.group, err = target.StartGroup("ledger", 3, func(c *target.Config) { c.Slots, c.ConnectionsPerSlot = 1, 4 })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.CloseAll(f.group) })
	var seeds []string
	settings := func(id, dc string) *cfgini.Daemon {
		const loopback = "127.0.0.1:0"
		return &cfgini.Daemon{
			VM:     cfgini.VM{ID: id, DataCentre: dc},
			Caller: cfgini.Caller{Address: loopback}, Admin: cfgini.Admin{Address: loopback},
			Peer:     cfgini.Peer{Address: loopback, ForwardAddress: loopback, Seeds: seeds},
			Platform: cfgini.Platform{Addresses: []string{platform.Address()}, ReadsPerSecond: 20},
			Token:    cfgini.Token{KeyFile: tokenKey},
			Stop:     cfgini.Stop{Deadline: 5 * time.Second},
		}
	}
	for i := range 2 {
		d, err := Start(settings(fmt.Sprintf("vm-%d", i+1), "dc-1"), WithLog(&log.Logger{Level: log.PanicLevel}))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Kill)
		platform.SetVM(d.VM())
		seeds = append(seeds, d.PeerAddress())
		f.others = append(f.others, d)
	}
	f.vm = startProcess(t, settings("vm-3", "dc-2"))
	platform.SetVM(f.vm.VM)
	c := change(f.group, f.key)
	for i := range c.Services[0].Targets {
		c.Services[0].Targets[i].DataCentre = "dc-2"
	}
	c.Customers[0].Keys = append(c.Customers[0].Keys, config.Key{ID: "k2", Digest: keys.Digest(f.withdrawnKey)})
	if _, err := f.others[0].Apply(ctx, c); err != nil {
		t.Fatal(err)
	}
	f.await(t, ctx, func() bool { return f.others[0].Ready(3) && f.others[1].Ready(3) })
	return f
}

func (f *pausableFleet) await(t *testing.T, ctx context.Context, done func() bool) {
	t.Helper()
	for !done() {
		if ctx.Err() != nil {
			t.Fatal("fleet: expected state not reached in time")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *pausableFleet) connect(t *testing.T, ctx context.Context, address, key string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://shop:%s@%s/ledger%%2Fwrite?sslmode=disable&default_query_exec_mode=simple_protocol", key, address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func put(ctx context.Context, conn *pgx.Conn, key string) error {
	_, err := conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2)", key, "v")
	return err
}

// writeDuringPause stops the process of vm-3, calls during once the other VMs
// own its slots, and writes on conn while the process is stopped. It returns the
// result of the write and the time from the end of the pause to that result.
func (f *pausableFleet) writeDuringPause(t *testing.T, ctx context.Context, conn *pgx.Conn, key string, during func()) (took time.Duration, err error) {
	t.Helper()
	f.vm.signal(t, syscall.SIGSTOP)
	f.await(t, ctx, func() bool {
		owned := f.others[0].OwnsSlot(f.group[0].ID()) != f.others[1].OwnsSlot(f.group[0].ID())
		return owned && len(f.others[0].members.Live()) == 2 && f.others[0].Ready(2)
	})
	during()
	type result struct {
		at  time.Time
		err error
	}
	done := make(chan result, 1)
	go func() {
		err := put(ctx, conn, key)
		done <- result{time.Now(), err}
	}()
	time.Sleep(100 * time.Millisecond) // lets the request reach the socket buffer
	resumed := time.Now()
	f.vm.signal(t, syscall.SIGCONT)
	r := <-done
	return r.at.Sub(resumed), r.err
}

// TestPausedProcess guards against a VM that, after a pause of its process,
// serves a request that arrived during the pause with a withdrawn key, at a
// replaced primary, or late.
func TestPausedProcess(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	f := startPausable(t, ctx)
	good, withdrawn := f.connect(t, ctx, f.vm.Caller, f.key), f.connect(t, ctx, f.vm.Caller, f.withdrawnKey)
	for i, conn := range []*pgx.Conn{good, withdrawn} {
		if err := put(ctx, conn, fmt.Sprint("before-", i)); err != nil {
			t.Fatal(err)
		}
	}
	took, err := f.writeDuringPause(t, ctx, withdrawn, "withdrawn", func() {
		outcome, err := f.others[0].Withdraw(ctx, "shop", "k2")
		if err != nil || !slices.Contains(outcome.InForce, "dc-1") {
			t.Fatalf("withdrawal: got %+v, %v, want it in force in dc-1", outcome, err)
		}
	})
	t.Logf("withdrawn key: %v after the pause: %v", took, err)
	if _, ok := target.PrimaryTable(f.group)["withdrawn"]; err == nil || ok {
		t.Errorf("write with a withdrawn key: got error %v, in the data %v; want an error and no data", err, ok)
	}
	f.await(t, ctx, func() bool { return len(f.others[0].members.Live()) == 3 && len(f.others[1].members.Live()) == 3 })
	if err := put(ctx, good, "between"); err != nil {
		t.Errorf("write after the first pause: got %v, want nil", err)
	}
	took, err = f.writeDuringPause(t, ctx, good, "moved", func() {
		if err := f.others[0].node.Promote(ctx, "ledger", f.group[1].ID(), false); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("primary replaced: first answer %v after the pause: %v", took, err)
	if err != nil && siskin.KindOf(err) != siskin.NotRun {
		t.Errorf("write after the primary was replaced: got %v, want nil or not run", err)
	}
	if _, ok := target.PrimaryTable(f.group)["moved"]; ok != (err == nil) {
		t.Errorf("write after the primary was replaced: got error %v, in the data %v", err, ok)
	}
	if limit := 3 * time.Second; took > limit {
		t.Errorf("first answer: got %v after the pause, want at most %v", took, limit)
	}
}
