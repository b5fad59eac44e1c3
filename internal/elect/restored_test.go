package elect

import (
	"context"
	"net/http"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/platform"
	"siskintray.example/siskin/platform/stand"
)

// newReserves returns the token reserves of two VMs with one store.
func newReserves(t *testing.T) (a, b *tokenReserve, p *stand.Platform) {
	t.Helper()
	p, err := stand.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	e1, e2, _ := newElectorPair(t, boot.Clock{})
	for _, e := range []*Elector{e1, e2} {
		e.cfg.Fencing = true
		e.cfg.Store = &platform.Store{BaseURL: "http://" + p.Address(), HTTP: &http.Client{}, Timeout: time.Second}
	}
	return &e1.tokens, &e2.tokens, p
}

// TestFencingTokensAfterRestore guards against fencing tokens that are given out
// twice, or are lower than earlier ones, after the store has returned from an
// older copy.
func TestFencingTokensAfterRestore(t *testing.T) {
	a, b, p := newReserves(t)
	ctx := context.Background()
	last := siskin.FencingToken(0)
	take := func(f *tokenReserve) {
		t.Helper()
		token, err := f.take(ctx, true)
		if err != nil || token <= last {
			t.Errorf("got token %d and %v, want one above %d", token, err, last)
		}
		last = max(last, token)
	}
	take(a)
	p.CopyStore()
	for range 3 {
		take(a)
		take(b)
	}
	for range 2 {
		p.RestoreStore()
		take(b)
		take(a)
		take(b)
	}
}

// TestTokenAboveUsedAfterRestore guards against a change of primary without
// fencing that writes to the store without a pause until its version has passed
// the tokens used before a restore.
func TestTokenAboveUsedAfterRestore(t *testing.T) {
	a, _, p := newReserves(t)
	ctx := context.Background()
	a.fill(ctx)
	p.CopyStore()
	var used siskin.FencingToken
	for range 30 {
		var err error
		if used, err = a.take(ctx, true); err != nil {
			t.Fatal(err)
		}
	}
	a.recordUse("ledger", used, 3)
	p.RestoreStore()
	before := p.StoreCalls()
	got, err := a.takeAbove(ctx, "ledger", 3, used)
	if err != nil || got <= used {
		t.Errorf("got token %d and %v, want one above %d", got, err, used)
	}
	const maxCalls = 4 // a refused update, then a creation or a read and an update
	if got := p.StoreCalls() - before; got > maxCalls {
		t.Errorf("store calls for one token: got %d, want at most %d", got, maxCalls)
	}
}
