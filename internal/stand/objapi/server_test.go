package objapi

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"go.uber.org/goleak"

	"siskintray.example/siskin"
)

func call(client *http.Client, method, url, body string) string {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	resp, err := client.Do(req)
	if err != nil {
		return "lost"
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.StatusCode, b)
}

// TestAPI guards against a stand-in whose shapes differ from the package
// documentation, and against lost answers whose change did not take effect.
func TestAPI(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, err := Start(Config{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	addresses := map[string]string{"api": s.Address(), "admin": s.AdminAddress()}
	ar, err := txtar.ParseFile("testdata/api.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(ar.Files[0].Data)) {
		request, want, ok := strings.Cut(strings.TrimSpace(line), " => ")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		f := append(strings.SplitN(request, " ", 4), "")
		got := call(client, f[1], "http://"+addresses[f[0]]+f[2], f[3])
		status, part, _ := strings.Cut(want, " ")
		if !strings.HasPrefix(got, status) || !strings.Contains(got, part) {
			t.Errorf("%s: got %s, want %s", request, got, want)
		}
	}
}

// TestLagAndBudget guards against a list of VMs that is never late and against
// calls over budget that are answered.
func TestLagAndBudget(t *testing.T) {
	s, err := Start(Config{VMLag: 50 * time.Millisecond, CallsPerSecond: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.SetVM(siskin.VM{ID: "vm-1", State: siskin.VMLive})
	if got := len(s.vms.list()); got != 0 {
		t.Errorf("VMs before the lag: got %d, want 0", got)
	}
	time.Sleep(60 * time.Millisecond)
	if got := len(s.vms.list()); got != 1 {
		t.Errorf("VMs after the lag: got %d, want 1", got)
	}
	call(http.DefaultClient, "GET", "http://"+s.Address()+"/VMs", "")
	got := call(http.DefaultClient, "GET", "http://"+s.Address()+"/VMs", "")
	if !strings.HasPrefix(got, "429") {
		t.Errorf("call over budget: got %s, want 429", got)
	}
	http.DefaultClient.CloseIdleConnections()
}
