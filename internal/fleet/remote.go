package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/internal/stand/objapi"
	"siskintray.example/siskin/internal/stand/target"
)

// Remote is a process that runs the stand-ins of a deployment, so that the
// processor time and memory of this process are those of the VMs.
type Remote struct {
	Addresses

	cmd   *exec.Cmd
	stdin io.Closer // its end ends the process
	http  *http.Client
}

// StartRemote runs this program again as "standin fleet" with the services of
// a profile and waits for its addresses.
func StartRemote(p load.Profile) (*Remote, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := []string{os.Args[0], "standin", "fleet", "--profile", p.Name}
	for _, s := range p.Services {
		args = append(args, "--service", string(s))
	}
	r := &Remote{
		cmd:  &exec.Cmd{Path: path, Args: args, Stderr: os.Stderr},
		http: &http.Client{Timeout: remoteTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if r.stdin, err = r.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	if err := json.NewDecoder(stdout).Decode(&r.Addresses); err != nil {
		_ = r.Close() // the cause follows
		return nil, siskin.NewError(siskin.Unavailable, "the process of the stand-ins sent no addresses").
			WithRemedy("see its output above").WithCause(err)
	}
	return r, nil
}

// remoteTimeout bounds one question to the process.
const remoteTimeout = 5 * time.Second

// Close ends the process and waits for it.
func (r *Remote) Close() error {
	_ = r.stdin.Close() // the process may have ended already
	return r.cmd.Wait()
}

// SetVM adds or changes a VM in the platform's list.
func (r *Remote) SetVM(vm siskin.VM) error {
	body, err := json.Marshal(struct {
		ID          siskin.VMID
		Incarnation siskin.Incarnation
		DataCentre  siskin.DataCentreID
		PeerAddress string
		State       string
	}{vm.ID, vm.Incarnation, vm.DataCentre, vm.PeerAddress, vm.State.String()})
	if err != nil {
		return err
	}
	return r.call(http.MethodPut, "http://"+r.PlatformAdmin+"/VMs", body, nil)
}

// PlatformCalls returns the number of calls of the platform so far.
func (r *Remote) PlatformCalls() (int64, error) {
	var s objapi.Stats
	err := r.call(http.MethodGet, "http://"+r.PlatformAdmin+"/Stats", nil, &s)
	return s.Total(), err
}

// Statements returns the number of statements that all targets have got.
func (r *Remote) Statements() (int, error) {
	n := 0
	for _, group := range r.Targets {
		for _, t := range group {
			var s struct{ Stats target.Stats }
			if err := r.call(http.MethodGet, "http://"+t.Admin+"/status", nil, &s); err != nil {
				return 0, err
			}
			n += s.Stats.Statements
		}
	}
	return n, nil
}

func (r *Remote) call(method, url string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, url, resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
