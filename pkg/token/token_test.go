package token

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
)

var (
	oldKey = bytes.Repeat([]byte{1}, MinKeySize)
	newKey = bytes.Repeat([]byte{2}, MinKeySize)
)

func mustCodec(tb testing.TB, current, previous []byte) *Codec {
	tb.Helper()
	c, err := NewCodec(current, previous)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// TestRoundTripAndRotation guards against tokens that are wrongly rejected or
// accepted while keys are rotated.
func TestRoundTripAndRotation(t *testing.T) {
	before := mustCodec(t, oldKey, nil)
	during := mustCodec(t, newKey, oldKey)
	after := mustCodec(t, newKey, nil)
	rapid.Check(t, func(rt *rapid.T) {
		want := siskin.Position{Term: siskin.Term(rapid.Uint64().Draw(rt, "term")), LSN: siskin.LSN(rapid.Uint64().Draw(rt, "lsn"))}
		text := before.Append(nil, Token{"badges", want})
		for _, c := range []*Codec{before, during} {
			if got, err := c.Verify("badges", text); err != nil || got != want {
				rt.Fatalf("got %v, %v, want %v", got, err, want)
			}
		}
		if _, err := after.Verify("badges", text); siskin.KindOf(err) != siskin.BadToken {
			rt.Fatalf("token of a removed key: got %v, want kind BadToken", err)
		}
		if _, err := before.Verify("clocks", text); siskin.KindOf(err) != siskin.BadToken {
			rt.Fatalf("token of another service: got %v, want kind BadToken", err)
		}
		i := rapid.IntRange(0, len(text)-1).Draw(rt, "i")
		forged := bytes.Clone(text)
		forged[i] ^= byte(rapid.IntRange(1, 255).Draw(rt, "flip"))
		if _, err := before.Verify("badges", forged); err == nil {
			rt.Fatalf("got no error for a token with byte %d changed", i)
		}
	})
}

// TestServes guards against a read that misses a write that its session has
// observed.
func TestServes(t *testing.T) {
	floor := siskin.Position{Term: 3, LSN: 100}
	for _, test := range []struct {
		role    siskin.TargetRole
		stream  siskin.Term
		applied siskin.LSN
		want    bool
	}{
		{siskin.RoleReplica, 3, 100, true},
		{siskin.RoleReplica, 3, 99, false},
		{siskin.RoleReplica, 2, 500, false},
		{siskin.RoleReplica, 4, 99, false},
		{siskin.RoleReplica, 4, 101, true},
		{siskin.RolePrimary, 3, 0, true},
		{siskin.RolePrimary, 4, 0, true},
		{siskin.RolePrimary, 2, 500, false},
	} {
		status := &siskin.TargetStatus{Role: test.role, StreamTerm: test.stream, Applied: test.applied}
		if got := CanServe(status, floor); got != test.want {
			t.Errorf("%v: got %v, want %v", test, got, test.want)
		}
	}
}

// FuzzVerify guards against a panic in the parser and an accepted forgery.
func FuzzVerify(f *testing.F) {
	c := mustCodec(f, newKey, oldKey)
	f.Add(c.Append(nil, Token{"badges", siskin.Position{Term: 1, LSN: 2}}))
	f.Add([]byte("st1."))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := c.Verify("badges", text)
		if err == nil && !bytes.Equal(text, c.Append(nil, Token{"badges", p})) &&
			!bytes.Equal(text, mustCodec(t, oldKey, nil).Append(nil, Token{"badges", p})) {
			t.Fatalf("accepted %q, which was not signed with a current or previous key", text)
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	c := mustCodec(b, newKey, oldKey)
	text := c.Append(nil, Token{"badges", siskin.Position{Term: 1, LSN: 2}})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Verify("badges", text); err != nil {
			b.Fatal(err)
		}
	}
}
