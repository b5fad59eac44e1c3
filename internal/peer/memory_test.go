package peer

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
)

// TestRefusedForMemory guards against a refused call that counts as lost or run, a
// small call that is refused because of large ones, and memory that stays counted.
func TestRefusedForMemory(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	server, client := memory.New(0), memory.New(0)
	echo := &Echo{running: make(chan struct{}, 10)}
	_, c := startPair(t, Config{Memory: server}, Config{Memory: client}, echo)
	for _, tt := range []struct {
		name string
		full *memory.Account
		text string
		want error
		ran  int
	}{
		{"calm", nil, large, nil, 1},
		{"full server", server, large, ErrNotSent, 0},
		{"full server, small call", server, "x", nil, 1},
		{"full client", client, large, ErrNotSent, 0},
		{"full client, small call", client, "x", nil, 1},
	} {
		tt.full.Peers().Force(8 << 20)
		got, err := call(c, "b", "Echo.Do", &Args{Text: tt.text}, time.Second)
		if !errors.Is(err, tt.want) || tt.want != nil && siskin.KindOf(err) != siskin.Overloaded || tt.want == nil && got != tt.text {
			t.Errorf("%s: got %d bytes, %v; want %v", tt.name, len(got), err, tt.want)
		}
		if len(echo.running) != tt.ran {
			t.Errorf("%s: ran %d times, want %d", tt.name, len(echo.running), tt.ran)
		}
		for len(echo.running) > 0 {
			<-echo.running
		}
		tt.full.Peers().Give(8 << 20)
	}
	awaitEmpty(t, server, client)
}

// TestResponseWithoutMemory guards against a dropped response that counts as a call
// which was not sent.
func TestResponseWithoutMemory(t *testing.T) {
	client := memory.New(0)
	echo := &Echo{running: make(chan struct{})}
	_, c := startPair(t, Config{}, Config{Memory: client}, echo)
	done := make(chan error, 1)
	go func() {
		_, err := call(c, "b", "Echo.Do", &Args{Text: strings.Repeat("x", 100<<10), Wait: 50 * time.Millisecond}, time.Second)
		done <- err
	}()
	<-echo.running
	client.Peers().Force(8 << 20)
	if err := <-done; !errors.Is(err, ErrResponseDropped) || errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want ErrResponseDropped", err)
	}
	client.Peers().Give(8 << 20)
	echo.running = nil
	if _, err := call(c, "b", "Echo.Do", &Args{Text: "x"}, time.Second); err != nil {
		t.Errorf("next call: got %v, want success", err)
	}
	awaitEmpty(t, client)
}

// TestDecodedSize guards against a body whose decoded form takes many times the memory
// that its frame counts for.
func TestDecodedSize(t *testing.T) {
	server := memory.New(0)
	_, c := startPair(t, Config{Memory: server}, Config{}, &Echo{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var reply string
	if err := c.Call(ctx, "b", "Echo.Do", make([]struct{}, 1<<20), &reply); !errors.Is(err, ErrNotSent) || siskin.KindOf(err) != siskin.Overloaded {
		t.Errorf("list of 1,048,576 elements: got %v, want ErrNotSent", err)
	}
	if _, err := call(c, "b", "Echo.Do", &Args{Text: strings.Repeat(",", 100)}, time.Second); err != nil {
		t.Errorf("next call: got %v, want success", err)
	}
	awaitEmpty(t, server)
}

// TestQueueRefusalIsNotSent guards against a call that the full queue of a server
// refuses and that counts as run.
func TestQueueRefusalIsNotSent(t *testing.T) {
	echo := &Echo{running: make(chan struct{})}
	_, c := startPair(t, Config{MaxConcurrent: 1, MaxQueued: 1}, Config{}, echo)
	ended := make(chan error, 4)
	for range 4 {
		go func() {
			_, err := call(c, "b", "Echo.Do", &Args{Text: "x"}, 5*time.Second)
			ended <- err
		}()
	}
	if err := <-ended; !errors.Is(err, ErrNotSent) || siskin.KindOf(err) != siskin.Overloaded {
		t.Errorf("got %v, want ErrNotSent", err)
	}
	ran, succeeded := 0, 0
	for left := 3; left > 0; {
		select {
		case <-echo.running:
			ran++
		case err := <-ended:
			left--
			if err == nil {
				succeeded++
			} else if !errors.Is(err, ErrNotSent) {
				t.Errorf("got %v, want ErrNotSent", err)
			}
		}
	}
	if ran != succeeded || ran == 0 {
		t.Errorf("calls that ran: got %d, of which %d succeeded, want all of one or more", ran, succeeded)
	}
}

// awaitEmpty waits until the last frames were handled.
func awaitEmpty(t *testing.T, accounts ...*memory.Account) {
	t.Helper()
	for _, a := range accounts {
		for limit := time.Now().Add(time.Second); a.Used() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("memory in use at the end: got %d, want 0", a.Used())
			}
		}
	}
}
