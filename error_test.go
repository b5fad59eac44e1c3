package siskin

import (
	"errors"
	"fmt"
	"testing"
)

// TestErrorKeepsKindThroughWrapping guards against an error that loses its
// kind when a caller wraps it, and with the kind the guarantee that the request
// did not run.
func TestErrorKeepsKindThroughWrapping(t *testing.T) {
	cause := errors.New("connection refused")
	err := NewError(NotRun, "target %s is down", "a/1").WithRemedy("repeat the request").WithCause(cause)
	wrapped := fmt.Errorf("route orders: %w", err)
	if got, want := KindOf(wrapped), NotRun; got != want {
		t.Errorf("KindOf: got %v, want %v", got, want)
	}
	if !errors.Is(wrapped, cause) {
		t.Errorf("Is: got false, want true for the cause")
	}
	if got, want := err.Error(), "target a/1 is down: connection refused; repeat the request"; got != want {
		t.Errorf("Error: got %q, want %q", got, want)
	}
}

// TestEveryKindHasSQLState guards against an error kind that has no SQLSTATE
// of five characters to return to callers.
func TestEveryKindHasSQLState(t *testing.T) {
	for k := Internal; k <= TargetRefused; k++ {
		if got, want := len(k.SQLState()), 5; got != want {
			t.Errorf("%v: got a SQLSTATE of %d characters, want %d", k, got, want)
		}
	}
}
