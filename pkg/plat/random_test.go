package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/internal/stand/objapi"
)

// TestRandomWriters guards against acknowledged updates that are lost, refused
// updates that took effect and updates that took effect twice, with racing
// writers and lost answers. Each update appends its id to the value.
func TestRandomWriters(t *testing.T) { randomWriters(t, 0, 100*time.Millisecond) }

// TestSoak repeats the run of TestRandomWriters with growing seeds and with
// answers that are so late that some callers have given up.
func TestSoak(t *testing.T) {
	soak.Rapid(t, func(t *testing.T) { randomWriters(t, 10, 15*time.Millisecond) })
}

func randomWriters(t *testing.T, maxDelayMs int, callTimeout time.Duration) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := objapi.Start(objapi.Config{Seed: rapid.Uint64().Draw(t, "seed")})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		s.SetFaults(objapi.Faults{LoseShare: rapid.Float64Range(0, 0.4).Draw(t, "lose")})
		writers := rapid.IntRange(1, 4).Draw(t, "writers")
		if maxDelayMs > 0 { // drawn last, so that recorded failures stay valid
			s.Delay(time.Duration(rapid.IntRange(0, maxDelayMs).Draw(t, "delay")) * time.Millisecond)
		}
		results := make([]map[string]error, writers)
		var done sync.WaitGroup
		for w := range writers {
			results[w] = make(map[string]error)
			done.Go(func() { writeMany(s.Address(), w, callTimeout, results[w]) })
		}
		done.Wait()
		s.SetFaults(objapi.Faults{})
		value := finalValue(t, s.Address())
		for _, byOp := range results {
			for op, err := range byOp {
				n := count(value, op)
				kind := siskin.KindOf(err)
				if err == nil && n != 1 || err != nil && kind != siskin.OutcomeUnknown && n != 0 || n > 1 {
					t.Fatalf("%s: got %d times in the value after result %v", op, n, err)
				}
			}
		}
	})
}

func writeMany(address string, w int, callTimeout time.Duration, results map[string]error) {
	c, _ := New(Config{Addresses: []string{address}, CallsPerSecond: 1e4, Burst: 100, MinBackoff: time.Millisecond, MaxBackoff: 5 * time.Millisecond})
	defer c.Close()
	for i := range 10 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		if o, err := c.Get(ctx, "A"); err == nil {
			var ops []string
			_ = json.Unmarshal(o.Value, &ops)
			op := fmt.Sprintf("%d-%d", w, i)
			value, _ := json.Marshal(append(ops, op))
			_, results[op] = c.Put(ctx, "A", value, o.Version, siskin.OperationID(op))
		}
		cancel()
	}
}

func finalValue(t *rapid.T, address string) (ops []string) {
	c, _ := New(Config{Addresses: []string{address}})
	defer c.Close()
	o, err := c.Get(context.Background(), "A")
	if err != nil {
		t.Fatal(err)
	}
	_ = json.Unmarshal(o.Value, &ops)
	return ops
}

func count(ops []string, op string) int {
	return len(slices.DeleteFunc(slices.Clone(ops), func(s string) bool { return s != op }))
}

// FuzzPutResult guards against answers that crash the client, and against an
// update that is reported as done although the answer does not say so.
func FuzzPutResult(f *testing.F) {
	f.Add(409, []byte(`{"Version":3,"Recent":[{"Operation":"op","Version":3}]}`))
	f.Add(200, []byte(`{"Version":1}`))
	f.Add(200, []byte(`{`))
	c, err := New(Config{Addresses: []string{"127.0.0.1:1"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		_, err := c.putResult(response{status: status, body: body}, "A", 2, "op", true)
		if err == nil && status != 200 && status != 409 {
			t.Errorf("status %d: got success, want an error", status)
		}
	})
}
