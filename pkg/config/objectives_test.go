package config

import (
	"testing"

	"pgregory.net/rapid"
)

// TestGenerateKeepsObjectives guards against a repeated Generate that drops the
// objectives of a service, which the questionnaire does not ask for.
func TestGenerateKeepsObjectives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answers := drawAnswers(t, "a")
		change, found := Generate(nil, answers)
		if len(found) > 0 {
			t.Fatal(found.Err())
		}
		want := Objectives{Availability: 0.99}
		change.Services[0].Objectives = &want
		again, found := Generate(NewOverlay(NewSnapshot(0, nil, nil), change), answers)
		if len(found) > 0 {
			t.Fatal(found.Err())
		}
		if got := again.Services[0].Objectives; got == nil || *got != want {
			t.Fatalf("got objectives %v, want %v", got, want)
		}
	})
}
