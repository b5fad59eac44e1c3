package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"siskintray.example/siskin/platform/stand"
)

// vm is one process of the system with the links before it.
type vm struct {
	id, caller, ready string
	cmd               *exec.Cmd
	log               *os.File
	// peers takes the calls of other machines; store and promoter lead to the
	// platform.
	peers, store, promoter *link
}

// fleet is the machines of a site.
type fleet struct{ vms []*vm }

// settings are those of deploy/siskintrayd.ini for a machine of the small sites.
const settings = `[VM]
ID = %s
DataCentre = %s
Memory = 284MB
ProcessorShare = 0.4
Processors = 1
Link = 1000.0
[Caller]
Address = %s
[Ready]
Address = %s
[Peer]
Address = %s
Advertised = %s
Seeds = %s
[Store]
Address = %s
[Promoter]
Address = %s
Fencing = yes
[Operator]
EvacuateWithin = 0s
ColdExcess = 0
ColdSlack = 0
[Metrics]
Address = %s
[Stop]
Grace = 6s
[Log]
Level = info
`

func freeAddresses(n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// startFleet starts a machine in each zone.
func startFleet(program, folder, platform string, zones []string) (*fleet, error) {
	f := &fleet{}
	free, err := freeAddresses(4 * len(zones))
	if err != nil {
		return f, err
	}
	var seeds []string
	for i, zone := range zones {
		a := free[4*i:]
		v := &vm{id: "front-" + zone + "-1", caller: a[0], ready: a[1]}
		if v.peers, err = newLink(a[2]); err != nil {
			return f, err
		}
		if v.store, err = newLink(platform); err != nil {
			return f, err
		}
		if v.promoter, err = newLink(platform); err != nil {
			return f, err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, v.peers.address())
		}
		text := fmt.Sprintf(settings, v.id, zone, v.caller, v.ready, a[2], v.peers.address(), strings.Join(seeds, ","), v.store.address(), v.promoter.address(), a[3])
		path := filepath.Join(folder, v.id+".ini")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return f, err
		}
		if v.log, err = logFile(folder, v.id); err != nil {
			return f, err
		}
		v.cmd = exec.Command(program, "--protocol", "session", "--config", path)
		v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
		if err := v.cmd.Start(); err != nil {
			f.end()
			return f, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

// end kills the processes.
func (f *fleet) end() {
	for _, v := range f.vms {
		_ = v.cmd.Process.Kill() // it may have ended
		_ = v.cmd.Wait()
		v.log.Close()
	}
}

// cut separates a machine from the platform and from the other machines, or ends
// that. Clients and targets reach it all the while.
func (f *fleet) cut(v *vm, on bool) {
	v.store.cut("", on)
	v.promoter.cut("", on)
	v.peers.cut("", on)
	for _, other := range f.vms {
		if other != v {
			other.peers.cut(v.id, on)
		}
	}
}

// awaitServing waits until each machine is ready and runs a write.
func (f *fleet) awaitServing(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, v := range f.vms {
		for !v.serves() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", v.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (v *vm) serves() bool {
	client := &http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return false
	}
	c, err := stand.Dial(v.caller, "entry", key)
	if err != nil {
		return false
	}
	defer c.Conn.Close()
	a, err := c.Query("WRITE probe " + v.id)
	return err == nil && a.Code == ""
}
