package invar

import "testing"

// TestCheckCountsAndReports guards against a violation that is neither counted
// nor passed to the handler.
func TestCheckCountsAndReports(t *testing.T) {
	inv := New("TestInvariant")
	var reported string
	restore := OnViolation(func(name, detail string) { reported = name + ": " + detail })
	defer restore()

	inv.Check(true, "not formatted")
	inv.Check(false, "term %d after %d", 3, 4)

	if got, want := reported, "TestInvariant: term 3 after 4"; got != want {
		t.Errorf("handler: got %q, want %q", got, want)
	}
	if got, want := Violations()["TestInvariant"], int64(1); got != want {
		t.Errorf("Violations: got %d, want %d", got, want)
	}
}
