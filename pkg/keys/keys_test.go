package keys

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// TestWithdrawalWakesSessions guards against an open session that is not
// notified when its key is withdrawn, and against a leaked goroutine.
func TestWithdrawalWakesSessions(t *testing.T) {
	defer goleak.VerifyNone(t)
	key := Generate()
	c := &mutableView{docs: map[siskin.CustomerID]*config.Customer{"a": document("a", 1, "services=s", "keys="+key)}, changed: make(chan struct{})}
	c.apply(1)
	k := New(clockwork.NewRealClock(), c)
	defer k.Close()
	grant, err := k.Authenticate("s", key)
	if err != nil {
		t.Fatal(err)
	}
	signal := k.Withdrawn()
	c.docs["a"] = document("a", 2, "services=s", "keys="+key+"!")
	c.apply(2)
	old := c.changed
	c.changed = make(chan struct{})
	close(old)
	select {
	case <-signal:
	case <-time.After(time.Second):
		t.Fatal("got no signal within 1 s of the change, want one")
	}
	if got, want := siskin.KindOf(k.Check("s", grant)), siskin.KeyWithdrawn; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestSamePrefix guards against a key that is accepted because the first bytes
// of its digest equal those of another key.
func TestSamePrefix(t *testing.T) {
	c := &mutableView{docs: map[siskin.CustomerID]*config.Customer{"a": document("a", 1, "services=s", "keys=k1")}}
	c.apply(1)
	k := New(nil, c)
	defer k.Close()
	wrong, right := digestOf("wrong"), digestOf("k1")
	k.entries.Put(wrong.prefix(), []indexEntry{{digest: right, customer: "a", key: "k1"}})
	if grant, err := k.Authenticate("s", "wrong"); err == nil {
		t.Errorf("got %+v for a key with the same prefix only, want an error", grant)
	}
}

// TestCutOff guards against keys that are accepted after the grace period of the
// service in an isolated data centre.
func TestCutOff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := Evidence{CurrentAt: clock.Now()}
	c := &mutableView{docs: map[siskin.CustomerID]*config.Customer{"a": document("a", 1, "services=s", "keys=k1")}}
	c.apply(1)
	k := New(clock, c, WithEvidence(func() Evidence { return e }))
	defer k.Close()
	for _, step := range []struct {
		after time.Duration
		want  error
	}{{time.Minute, nil}, {FreshnessWindow, nil}, {1, siskin.NewError(siskin.KeyRefused, "")}} {
		clock.Advance(step.after)
		if _, got := k.Authenticate("s", "k1"); (got == nil) != (step.want == nil) || (got != nil && siskin.KindOf(got) != siskin.KindOf(step.want)) {
			t.Errorf("got %v at %v, want %v", got, clock.Since(e.CurrentAt), step.want)
		}
	}
}

// TestMistyped guards against a typing error that is reported as an unknown key,
// and against a key in another format that is reported as a typing error.
func TestMistyped(t *testing.T) {
	key := Generate()
	if Mistyped(key) || Mistyped("other") || key == Generate() {
		t.Errorf("a valid key is reported as mistyped, or Generate returned the same key twice")
	}
	for i := len(keyPrefix); i < len(key); i++ {
		changed := key[:i] + strings.Map(func(r rune) rune {
			if r == '0' {
				return '1'
			}
			return '0'
		}, key[i:i+1]) + key[i+1:]
		if !Mistyped(changed) || !Mistyped(key[:i]+key[i+1:]) {
			t.Fatalf("got no typing error at character %d, want one", i)
		}
	}
	k := New(nil, config.NewStaticView(nil, nil))
	defer k.Close()
	_, err := k.Authenticate("s", key[:len(key)-1])
	if got, want := fmt.Sprint(err), "checksum"; !strings.Contains(got, want) {
		t.Errorf("got %q, want a message with %q", got, want)
	}
}

// TestScan guards against a leaked key that Scan does not find.
func TestScan(t *testing.T) {
	key := Generate()
	raw := digestOf(key)
	for _, recorded := range []struct {
		text string
		want Leak
	}{
		{"no key here", NoLeak},
		{"password=" + key + ";", LeakPlain},
		{strings.ToUpper(key), LeakPlain},
		{hex.EncodeToString([]byte("x" + key + "y")), LeakHex},
		{base64.StdEncoding.EncodeToString([]byte("x" + key + "y")), LeakBase64},
		{base64.URLEncoding.EncodeToString([]byte("xy" + key)), LeakBase64},
		{base64.StdEncoding.EncodeToString([]byte(key)), LeakBase64},
		{Digest(key), LeakDigest},
		{string(raw[:]), LeakDigest},
	} {
		if got := Scan([]byte(recorded.text), key); got != recorded.want {
			t.Errorf("got %q for %q, want %q", got, recorded.text, recorded.want)
		}
	}
}

// TestErrorsHideKeys guards against a key or digest in an error or its cause.
func TestErrorsHideKeys(t *testing.T) {
	key := Generate()
	c := &mutableView{docs: map[siskin.CustomerID]*config.Customer{"a": document("a", 1, "services=s", "keys="+key+"!")}}
	c.docs["a"].Keys[0].ID = "k1"
	c.apply(1)
	k := New(nil, c)
	defer k.Close()
	for _, attempt := range []string{key, key[:len(key)-1], Generate()} {
		for _, service := range []siskin.ServiceName{"s", "other"} {
			_, err := k.Authenticate(service, attempt)
			if err == nil {
				t.Fatal("got a grant, want an error")
			}
			text := fmt.Sprintf("%v %+v %#v %v", err, err, err, errors.Unwrap(err))
			if got := Scan([]byte(text), attempt); got != NoLeak {
				t.Errorf("got a leak of the form %s in %q, want none", got, text)
			}
		}
	}
}

// FuzzMistyped guards against a panic on a key that a caller sends, and against
// a truncated key that is not reported as mistyped.
func FuzzMistyped(f *testing.F) {
	f.Add(Generate())
	f.Add(keyPrefix)
	f.Add("siskey_0O1l")
	f.Fuzz(func(t *testing.T, key string) {
		if !Mistyped(key) && strings.HasPrefix(key, keyPrefix) && len(key) != len(Generate()) {
			t.Errorf("got %q accepted as valid, want a typing error", key)
		}
	})
}
