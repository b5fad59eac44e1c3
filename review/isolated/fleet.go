package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"siskintray.example/siskin/platform/stand"
)

// vm is one process of the system with the links before it.
type vm struct {
	id, caller, ready, settings string

	cmd *exec.Cmd
	log *os.File
	// peers takes the calls of other machines; store and promoter lead to the
	// platform.
	peers, store, promoter *link
}

// fleet is the machines of a site. All addresses come from one list.
type fleet struct {
	program, folder, platform string
	free                      []string
	vms                       []*vm
}

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

const (
	// firstPort and lastPort lie below the ports of outgoing connections, one of
	// which could otherwise take an address before its process listens.
	firstPort = 15000
	lastPort  = 32000
	portBlock = 100
)

// freeAddresses returns n free loopback addresses from a block of this process.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for i := range lastPort - firstPort {
		port := firstPort + (os.Getpid()*portBlock+i)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // in use
		}
		list = append(list, l.Addr().String())
		l.Close()
		if len(list) == n {
			return list, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports", n)
}

// startFleet starts a machine in each zone.
func startFleet(program, folder, platform string, zones []string) (*fleet, error) {
	f := &fleet{program: program, folder: folder, platform: platform}
	var err error
	if f.free, err = freeAddresses(8 * len(zones)); err != nil {
		return f, err
	}
	for _, zone := range zones {
		v, err := f.add("front-"+zone+"-1", zone)
		if err == nil {
			err = v.start(f)
		}
		if err != nil {
			f.end()
			return f, err
		}
	}
	return f, nil
}

// add adds a machine at addresses of its own.
func (f *fleet) add(id, zone string) (*vm, error) {
	a := f.free[:4]
	f.free = f.free[4:]
	v := &vm{id: id, caller: a[0], ready: a[1]}
	var err error
	if v.peers, err = newLink(a[2]); err != nil {
		return nil, err
	}
	if v.store, err = newLink(f.platform); err != nil {
		return nil, err
	}
	if v.promoter, err = newLink(f.platform); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, v)
	var seeds []string
	for _, other := range f.vms[:min(3, len(f.vms))] {
		seeds = append(seeds, other.peers.address())
	}
	text := fmt.Sprintf(settings, v.id, zone, v.caller, v.ready, a[2], v.peers.address(), strings.Join(seeds, ","), v.store.address(), v.promoter.address(), a[3])
	v.settings = filepath.Join(f.folder, v.id+".ini")
	return v, os.WriteFile(v.settings, []byte(text), 0o600)
}

// start starts the process of a machine.
func (v *vm) start(f *fleet) error {
	var err error
	if v.log, err = logFile(f.folder, v.id); err != nil {
		return err
	}
	v.cmd = exec.Command(f.program, "--protocol", "session", "--config", v.settings)
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	return v.cmd.Start()
}

// stop ends the process of a machine with a signal, and with a kill after the
// grace.
func (v *vm) stop(sig syscall.Signal) {
	_ = v.cmd.Process.Signal(sig) // it may have ended
	kill := time.AfterFunc(6*time.Second, func() { _ = v.cmd.Process.Kill() })
	_ = v.cmd.Wait()
	kill.Stop()
	v.log.Close()
}

// end kills the processes.
func (f *fleet) end() {
	for _, v := range f.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			v.stop(syscall.SIGKILL)
		}
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

// isReady asks the readiness probe.
func (v *vm) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (v *vm) serves() bool {
	if !v.isReady() {
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
