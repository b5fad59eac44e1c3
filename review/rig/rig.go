package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

const (
	customer = "acme"
	key      = "key-of-acme"
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 25 * time.Second
)

// rig holds the parts of one run.
type rig struct {
	program  string
	dir      string
	trouble  bool
	rec      *recorder
	store    *stand.Platform
	promoter *promoter
	groups   []*group
	vms      []*vm
}

// vm is one siskintrayd process.
type vm struct {
	rec                           *recorder
	id, dc                        string
	caller, ready, peers, metrics string
	program, settings, logFile    string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

const (
	// firstPort and lastPort lie below the ports of outgoing connections, which
	// could take an address between two uses of it.
	firstPort = 12000
	lastPort  = 32000
	// portBlock is the distance of the first ports of two runs.
	portBlock = 64
)

// nextPort starts at a block of this process.
var nextPort = func() *atomic.Int32 {
	var n atomic.Int32
	n.Store(int32(os.Getpid() * portBlock % (lastPort - firstPort)))
	return &n
}()

// listenFree listens on a free loopback address.
func listenFree() (l net.Listener, err error) {
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	l, err := listenFree()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts the platform, the targets of the groups and one VM for each of
// the data centres, and waits until all of them serve.
func (r *rig) start(dcs []string, groups ...groupOptions) error {
	var err error
	if r.store, err = stand.Start(); err != nil {
		return err
	}
	for _, o := range groups {
		g, err := startGroup(r.rec, r.store, o)
		if err != nil {
			return err
		}
		r.groups = append(r.groups, g)
	}
	if r.promoter, err = startPromoter(r.rec, r.groups); err != nil {
		return err
	}
	r.store.SetDeployment(r.deployment())
	for i, dc := range dcs {
		v := &vm{rec: r.rec, id: fmt.Sprintf("vm-%d", i+1), dc: dc, program: r.program}
		for _, a := range []*string{&v.caller, &v.ready, &v.peers, &v.metrics} {
			if *a, err = freeAddress(); err != nil {
				return err
			}
		}
		r.vms = append(r.vms, v)
	}
	var seeds []string
	for _, v := range r.vms[:min(3, len(r.vms))] {
		seeds = append(seeds, v.peers)
	}
	for _, v := range r.vms {
		v.settings, v.logFile = filepath.Join(r.dir, v.id+".ini"), filepath.Join(r.dir, v.id+".log")
		if err := os.WriteFile(v.settings, []byte(v.settingsText(seeds, r.store.Address(), r.promoter.address)), 0o600); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return r.awaitServing()
}

// deployment returns the operator's configuration: three routes a service, with
// the bounds of the site hartwell-regulation.
func (r *rig) deployment() *siskin.Deployment {
	d := &siskin.Deployment{
		Version: 7, TxIdleTimeout: 3 * time.Second, SessionIdleTimeout: 15 * time.Second,
		Customers: []siskin.CustomerSpec{{ID: customer, Keys: []string{key}, Rate: 5000, Burst: 5000}},
	}
	for _, g := range r.groups {
		d.Services = append(d.Services, siskin.ServiceSpec{Name: siskin.ServiceName(g.service), MaxConnections: g.maxConns, SyncReplicas: g.sync})
		for _, kind := range []siskin.RouteKind{siskin.PrimaryReads, siskin.BoundedStaleness, siskin.ReadYourWrites} {
			name := fmt.Sprintf("%s-%d", g.service, kind)
			d.Routes = append(d.Routes, siskin.RouteSpec{
				Name: siskin.RouteName("r-" + name), Database: name, Service: siskin.ServiceName(g.service), Kind: kind,
				Timeout: 800 * time.Millisecond, LatencyObjective: 250 * time.Millisecond, MaxStaleness: 2500 * time.Millisecond, Priority: 1,
			})
		}
	}
	return d
}

// database returns the name of a service's database with the given kind.
func database(service string, kind siskin.RouteKind) string {
	return fmt.Sprintf("%s-%d", service, kind)
}

// awaitServing waits until each VM is ready and runs a write on each service.
func (r *rig) awaitServing() error {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(100 * time.Millisecond) {
		if r.serves() {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the fleet does not serve")
		}
	}
}

func (r *rig) serves() bool {
	for _, v := range r.vms {
		if !v.isReady() {
			return false
		}
		for _, g := range r.groups {
			c, err := dial(r.rec, "probe", v.caller, database(g.service, siskin.PrimaryReads), key)
			if err != nil {
				return false
			}
			a, err := c.query("WRITE probe x")
			c.close()
			if err != nil || a.code != "" {
				return false
			}
		}
	}
	return true
}

func (r *rig) closeVMs() {
	for _, v := range r.vms {
		v.stop(syscall.SIGKILL)
	}
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	r.closeVMs()
	if r.promoter != nil {
		r.promoter.close()
	}
	for _, g := range r.groups {
		g.close()
	}
	if r.store != nil {
		_ = r.store.Close() // the run has ended
	}
}

// settingsText fills in the template of the deployment.
func (v *vm) settingsText(seeds []string, store, promoter string) string {
	return fmt.Sprintf(`[VM]
ID = %s
DataCentre = %s
Memory = 284MB
ProcessorShare = 0.4
Processors = 1
[Caller]
Address = %s
[Ready]
Address = %s
[Peer]
Address = %s
Seeds = %s
[Store]
Address = %s
[Promoter]
Address = %s
Fencing = yes
[Metrics]
Address = %s
[Stop]
Grace = 6s
[Log]
Level = info
`, v.id, v.dc, v.caller, v.ready, v.peers, strings.Join(seeds, ","), store, promoter, v.metrics)
}

func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	log, err := os.OpenFile(v.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(v.program, "--protocol", "session", "--config", v.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close() // nothing was written
		return err
	}
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	v.rec.logf("%s starts", v.id)
	go func() {
		err := cmd.Wait()
		_ = log.Close() // the process has ended
		v.rec.logf("%s has ended: %v", v.id, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		v.rec.logf("%s gets signal %v", v.id, sig)
		_ = v.cmd.Process.Signal(sig) // fails only when it has ended
	}
}

// stop ends the process with a signal, and kills it after the grace.
func (v *vm) stop(sig syscall.Signal) {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited == nil {
		return
	}
	v.signal(sig)
	select {
	case <-exited:
	case <-time.After(grace):
		v.signal(syscall.SIGKILL)
		<-exited
	}
	v.mu.Lock()
	v.cmd, v.exited = nil, nil
	v.mu.Unlock()
}

func (v *vm) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close() // the body is not read
	return res.StatusCode == http.StatusOK
}
