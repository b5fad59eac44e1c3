//go:build linux

package cmds

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/quest"
	"siskintray.example/siskin/pkg/config"
)

// terminal is a pseudo-terminal with everything that it showed.
type terminal struct {
	t           *testing.T
	typed, seen *os.File // where a person types, and what the program sees

	mu    sync.Mutex
	shown bytes.Buffer
}

func ioctl(f *os.File, request uintptr, arg unsafe.Pointer) error {
	if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, f.Fd(), request, uintptr(arg)); errno != 0 {
		return errno
	}
	return nil
}

func openTerminal(t *testing.T) *terminal {
	t.Helper()
	typed, err := os.OpenFile("/dev/ptmx", os.O_RDWR|syscall.O_NOCTTY, 0)
	if err != nil {
		t.Fatalf("no pseudo-terminal: %v", err)
	}
	t.Cleanup(func() { _ = typed.Close() })
	var unlock, number int32
	if err := ioctl(typed, syscall.TIOCSPTLCK, unsafe.Pointer(&unlock)); err != nil {
		t.Fatal(err)
	}
	if err := ioctl(typed, syscall.TIOCGPTN, unsafe.Pointer(&number)); err != nil {
		t.Fatal(err)
	}
	seen, err := os.OpenFile(fmt.Sprintf("/dev/pts/%d", number), os.O_RDWR|syscall.O_NOCTTY, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = seen.Close() })
	term := &terminal{t: t, typed: typed, seen: seen}
	go term.follow()
	return term
}

// follow collects what the terminal shows, until it is closed.
func (x *terminal) follow() {
	buf := make([]byte, 4096)
	for {
		n, err := x.typed.Read(buf)
		x.mu.Lock()
		x.shown.Write(buf[:n])
		x.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (x *terminal) text() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.shown.String()
}

// echoes reports whether the terminal shows what is typed.
func (x *terminal) echoes() bool {
	var settings syscall.Termios
	if err := ioctl(x.seen, syscall.TCGETS, unsafe.Pointer(&settings)); err != nil {
		x.t.Fatal(err)
	}
	return settings.Lflag&syscall.ECHO != 0
}

// wait waits until the terminal shows the text and echoes as wanted.
func (x *terminal) wait(text string, echo bool) {
	x.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if strings.Contains(x.text(), text) && x.echoes() == echo {
			return
		}
		if time.Now().After(end) {
			x.t.Fatalf("got echo %v and %q, want echo %v and %q", x.echoes(), x.text(), echo, text)
		}
	}
}

// TestSecretsAreNotShown guards against passwords and keys that a terminal shows
// while they are typed, as a default or with the result, and against a terminal
// that stays silent after an interrupt.
func TestSecretsAreNotShown(t *testing.T) {
	x := openTerminal(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	type result struct {
		form *quest.Form
		err  error
	}
	done := make(chan result, 1)
	go func() {
		form, _, err := dialog(ctx, x.seen, x.seen, config.NewStaticView(nil, nil))
		done <- result{form, err}
	}()
	digest := strings.Repeat("7e57", 16)
	for _, line := range []struct {
		prompt, answer string
		secret         bool
	}{
		{"1.1 ", "ledger-z", false},
		{"1.2 ", "2", false},
		{"1.3 ", "16", false},
		{"1.4 ", "10ms", false},
		{"1.5 ", "", false},
		{"1.6 ", "", false},
		{"1.7 ", "30s", false},
		{"2.1 ", "app", false},
		{"2.2 ", "rw", false},
		{"2.3 ", "first-secret", true},
		{"2.4 ", "<", false},
		{"[hidden]", "", true},
		{"2.4 Which account may only read? ", "ro", false},
		{"2.5 ", "second-secret", true},
		{"3.1 (Target 1)", "a", false},
		{"3.2 (Target 1)", "10.9.0.1:5432", false},
		{"3.1 (Target 2)", "b", false},
		{"3.2 (Target 2)", "10.9.0.2:5432", false},
		{"3.1 (Target 3)", "c", false},
		{"3.2 (Target 3)", "10.9.0.3:5432", false},
		{"another Target", "no", false},
		{"4.1 (Route 1)", "w", false},
		{"4.2 (Route 1)", "Write", false},
		{"4.5 (Route 1)", "no", false},
		{"4.7 (Route 1)", "", false},
		{"another Route", "no", false},
		{"5.1 (Customer 1)", "shop", false},
		{"5.2 (Customer 1)", "10", false},
		{"5.3 (Customer 1)", "10", false},
		{"5.4 (Customer 1)", "", false},
		{"5.5 (Customer 1)", "k1 " + digest, true},
		{"another Customer", "no", false},
	} {
		x.wait(line.prompt, !line.secret)
		if _, err := x.typed.WriteString(line.answer + "\n"); err != nil {
			t.Fatal(err)
		}
	}
	var r result
	select {
	case r = <-done:
	case <-time.After(10 * time.Second):
		t.Fatalf("dialog did not end; it showed %q", x.text())
	}
	if r.err != nil {
		t.Fatal(r.err)
	}
	all, shown := string(r.form.INI()), string(r.form.Shown())
	for _, secret := range []string{"first-secret", "second-secret", digest} {
		if !strings.Contains(all, secret) || strings.Contains(shown, secret) || strings.Contains(x.text(), secret) {
			t.Errorf("%s: got it in the answers %v, as shown %v, on the terminal %v; want it in the answers only", secret,
				strings.Contains(all, secret), strings.Contains(shown, secret), strings.Contains(x.text(), secret))
		}
	}
	if !strings.Contains(x.text(), "ledger-z") {
		t.Error("got no echo of an answer that is no secret, want it")
	}
}

// TestInterruptedDialog guards against a terminal that shows nothing anymore
// after an interrupt at a password.
func TestInterruptedDialog(t *testing.T) {
	x := openTerminal(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, _, err := dialog(ctx, x.seen, x.seen, config.NewStaticView(nil, nil))
		done <- err
	}()
	for _, line := range [][2]string{{"1.1 ", "ledger-z"}, {"1.2 ", "2"}, {"1.3 ", "16"}, {"1.4 ", "10ms"}, {"1.5 ", ""}, {"1.6 ", ""}, {"1.7 ", "30s"}, {"2.1 ", "app"}, {"2.2 ", "rw"}} {
		x.wait(line[0], true)
		if _, err := x.typed.WriteString(line[1] + "\n"); err != nil {
			t.Fatal(err)
		}
	}
	x.wait("2.3 ", false)
	cancel()
	select {
	case err := <-done:
		if siskin.KindOf(err) != siskin.Unavailable || !x.echoes() {
			t.Errorf("got %v and echo %v, want kind Unavailable and an echo", err, x.echoes())
		}
	case <-time.After(5 * time.Second):
		t.Fatal("dialog did not end")
	}
}
