package cmds

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"siskintray.example/siskin/internal/admin"
)

// TestMissingGroups guards against a list of groups that looks complete and is
// not.
func TestMissingGroups(t *testing.T) {
	asked := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.Path + "?" + r.URL.RawQuery
		_ = json.NewEncoder(w).Encode(admin.GroupPage{
			Groups: []admin.GroupStatus{{Service: "ledger-a", Term: 3}}, Total: 9, Next: "ledger-c",
			Missing: []admin.MissingGroup{{Service: "ledger-b", Kind: "Unavailable", Message: "not asked within 2s"}},
		})
	}))
	defer server.Close()
	var out, errs bytes.Buffer
	args := []string{"--admin", server.Listener.Addr().String(), "group", "status", "--match", "ledger", "--from", "ledger-a", "--limit", "2", "--timeout", "2s"}
	if got, want := Main(args, strings.NewReader(""), &out, &errs), ExitPartial; got != want {
		t.Errorf("got exit code %d, want %d: %s", got, want, errs.String())
	}
	if want := "/groups?From=ledger-a&Limit=2&Match=ledger&Timeout=2s"; asked != want {
		t.Errorf("got the request %s, want %s", asked, want)
	}
	for _, want := range []string{"ledger-a", "MISSING: ledger-b: not asked within 2s", "1 of 9 services", "--from ledger-c"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got %s, want %q in it", out.String(), want)
		}
	}
	if got, want := Main(append(args, "ledger-a"), strings.NewReader(""), &out, &errs), ExitUsage; got != want {
		t.Errorf("a service with --match: got exit code %d, want %d", got, want)
	}
}
