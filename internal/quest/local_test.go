package quest

import (
	"os"
	"path/filepath"
	"testing"
)

// TestAllExamplesTogether guards against answers in examples/local that are
// refused, also beside those of both firms in one configuration.
func TestAllExamplesTogether(t *testing.T) {
	var forms []*Form
	for _, pattern := range []string{"local/*.answers.ini", "syntyma/*.ini", "hartwell/*.ini"} {
		files, _ := filepath.Glob("../../examples/" + pattern)
		for _, path := range files {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			form, found := Read(path, data)
			if len(found) > 0 {
				t.Fatal(found.Err())
			}
			forms = append(forms, form)
		}
	}
	change, found := Generate(nil, forms...)
	if len(found) > 0 {
		t.Fatal(found.Err())
	}
	if got, want := [2]int{len(change.Services), len(change.Customers)}, [2]int{2 + 3 + 3, 8 + 8}; got != want {
		t.Errorf("got %v services and customers, want %v", got, want)
	}
}
