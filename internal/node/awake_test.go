package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"siskintray.example/siskin/internal/stand/target"
)

// TestAsleepHomeServesNothing guards against a VM that serves a request for its
// slots after a pause before Config.Awake returns true, or that never serves the
// request afterwards.
func TestAsleepHomeServesNothing(t *testing.T) {
	var awake atomic.Bool
	awake.Store(true)
	vms, targets := startFleet(t, func(c *Config) { c.Awake = awake.Load })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://shop:shop@%s/ledger%%2Fwrite?sslmode=disable&default_query_exec_mode=simple_protocol", vms[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(ctx)
	insert := func(key string) error {
		_, err := conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, 'v')", key)
		return err
	}
	if err := insert("before"); err != nil {
		t.Fatal(err)
	}
	awake.Store(false)
	done := make(chan error, 1)
	go func() { done <- insert("held") }()
	time.Sleep(500 * time.Millisecond)
	if _, ok := target.PrimaryTable(targets)["held"]; ok {
		t.Error("write while the VM may not use its roles: found in the data, want it delayed")
	}
	begun := time.Now()
	awake.Store(true)
	if err := <-done; err != nil {
		t.Errorf("delayed write: got %v, want nil", err)
	}
	t.Logf("served %v after the VM could use its roles again", time.Since(begun))
}
