// Command isolated plays a machine that is cut off from the store and from the
// other machines while a replica leaves, after which the replicas that stay
// receive nothing for a while and the primary crashes. It reports acknowledged
// commits that the promoted target lacks.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

const (
	service = "books"
	key     = "key-of-parish"
	// writePause is the pause between two writes of a client.
	writePause = 20 * time.Millisecond
	// startTime is the time from the start of the machines to that of the traffic.
	startTime = 10 * time.Second
)

// write is a write that a client was told has succeeded.
type write struct {
	vm, item string
	at       time.Time
	position string
}

// run is one play.
type run struct {
	platform *stand.Platform
	trouble  bool
	record   *os.File
	began    time.Time

	mu    sync.Mutex
	acked []write
}

func main() {
	code, err := play()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// play returns the exit code: 0 if the rule held, 1 if it was broken, and 2 if the
// case could not run.
func play() (int, error) {
	if len(os.Args) != 5 {
		return 2, fmt.Errorf("usage: isolated leave|join|replace PROGRAM FOLDER RECORD")
	}
	record, err := os.Create(os.Args[4])
	if err != nil {
		return 2, err
	}
	defer record.Close()
	p, err := stand.Start(stand.ServiceOptions{
		Name: service, Zones: []string{"coventry", "lichfield", "worcester"}, Slots: 3, MaxConnections: 38, SyncReplicas: 1,
		StatementTime: 6 * time.Millisecond, Lag: 60 * time.Millisecond, PromotionDelay: 600 * time.Millisecond,
	})
	if err != nil {
		return 2, err
	}
	defer p.Close()
	p.SetDeployment(deployment())
	r := &run{platform: p, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now()}
	stop := make(chan struct{})
	defer close(stop)
	go r.heartbeats(stop)
	f, err := startFleet(os.Args[2], os.Args[3], p.Address(), []string{"coventry", "lichfield", "worcester", "derby"})
	if err != nil {
		return 2, err
	}
	defer f.end()
	if err := f.awaitServing(30 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(startTime)
	switch os.Args[1] {
	case "join":
		return r.join(f)
	case "replace":
		return r.replace(f)
	}
	return r.leave(f)
}

// deployment is that of a small site: a route of each kind of the first service.
func deployment() *siskin.Deployment {
	return &siskin.Deployment{
		Version: 1, TxIdleTimeout: 3 * time.Second, SessionIdleTimeout: time.Minute,
		Routes: []siskin.RouteSpec{{
			Name: "entry", Database: "entry", Service: service, Kind: siskin.PrimaryReads, Timeout: 800 * time.Millisecond,
			LatencyObjective: 150 * time.Millisecond, MaxStaleness: 1500 * time.Millisecond, Priority: 1,
		}},
		Services:  []siskin.ServiceSpec{{Name: service, MaxConnections: 38, SyncReplicas: 1}},
		Customers: []siskin.CustomerSpec{{ID: "parish", Keys: []string{key}, Rate: 2000, Burst: 2000}},
	}
}

// heartbeats writes the entries of the targets as they do themselves.
func (r *run) heartbeats(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
			r.platform.Republish()
		}
	}
}

func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// leave plays a replica that leaves while a machine is cut off.
func (r *run) leave(f *fleet) (int, error) {
	targets := r.platform.Targets(service)
	primary, leaving, staying := targets[0], targets[1], targets[2]
	if !primary.IsPrimary() {
		return 2, fmt.Errorf("target %s is not the primary", primary.ID())
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, v := range f.vms {
		clients.Go(func() { r.client(v, stop) })
	}
	time.Sleep(2 * time.Second)
	successor, err := r.platform.AddTarget(service)
	if err != nil {
		return 2, err
	}
	r.log("target %s starts, the successor of %s", successor.ID(), leaving.ID())
	time.Sleep(time.Second)
	cut := f.vms[0]
	if r.trouble {
		r.log("%s is cut off from the store and the other machines", cut.id)
		f.cut(cut, true)
	}
	time.Sleep(300 * time.Millisecond)
	r.platform.SetDraining(leaving)
	r.log("the store accepts that %s is draining", leaving.ID())
	time.Sleep(4500 * time.Millisecond)
	if r.trouble {
		r.log("replicas %s and %s receive nothing", staying.ID(), successor.ID())
		staying.SetReceiveBlocked(true)
		successor.SetReceiveBlocked(true)
	}
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		r.log("primary %s crashes", primary.ID())
		primary.Crash()
	}
	promoted := r.awaitPromotion(primary, 4900*time.Millisecond)
	if r.trouble {
		r.log("the replicas receive again, and %s is no longer cut off", cut.id)
	}
	staying.SetReceiveBlocked(false)
	successor.SetReceiveBlocked(false)
	f.cut(cut, false)
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	if promoted == nil {
		r.log("no other target was promoted")
		promoted = primary
	} else {
		r.log("target %s was promoted", promoted.ID())
	}
	return r.judge(promoted), nil
}

// join plays a replica that starts while the store is down.
func (r *run) join(f *fleet) (int, error) {
	targets := r.platform.Targets(service)
	primary := targets[0]
	if !primary.IsPrimary() {
		return 2, fmt.Errorf("target %s is not the primary", primary.ID())
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, v := range f.vms {
		clients.Go(func() { r.client(v, stop) })
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.log("the store is down, and primary %s is partitioned from its replicas", primary.ID())
		for _, v := range f.vms {
			v.store.cut("", true)
		}
		for _, t := range targets[1:] {
			t.SetReceiveBlocked(true)
		}
	}
	time.Sleep(500 * time.Millisecond)
	successor, err := r.platform.AddTarget(service)
	if err != nil {
		return 2, err
	}
	r.log("target %s starts", successor.ID())
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		r.log("primary %s crashes", primary.ID())
		primary.Crash()
	}
	promoted := r.awaitPromotion(primary, 4*time.Second)
	if r.trouble {
		r.log("the store and the replicas are back")
	}
	for _, t := range targets[1:] {
		t.SetReceiveBlocked(false)
	}
	for _, v := range f.vms {
		v.store.cut("", false)
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	if promoted == nil {
		r.log("no other target was promoted")
		promoted = primary
	} else {
		r.log("target %s was promoted", promoted.ID())
	}
	return r.judge(promoted), nil
}

// awaitPromotion returns the primary in place of the given one, or nil if there is
// none within the time.
func (r *run) awaitPromotion(old *stand.Target, limit time.Duration) *stand.Target {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if p := r.platform.Primary(service); p != nil && p != old {
			return p
		}
	}
	return nil
}

// client writes one item after the other through a machine.
func (r *run) client(v *vm, stop <-chan struct{}) {
	for n := 0; ; {
		c, err := stand.Dial(v.caller, "entry", key)
		if err != nil {
			r.log("%s: no session: %v", v.id, err)
		}
		for err == nil {
			select {
			case <-stop:
				c.Conn.Close()
				return
			case <-time.After(writePause):
			}
			n++
			item := fmt.Sprintf("%s-%d", v.id, n)
			var res stand.Result
			if res, err = c.Query("WRITE " + item + " kept"); err != nil {
				r.log("%s: WRITE %s: %v", v.id, item, err)
				break
			}
			r.log("%s: WRITE %s: %q %s", v.id, item, res.Code, res.Position)
			if res.Code == "" && res.Signature != "" && res.Signature != "-" {
				r.mu.Lock()
				r.acked = append(r.acked, write{v.id, item, time.Now(), res.Position})
				r.mu.Unlock()
			}
		}
		if c != nil {
			c.Conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// judge looks for acknowledged writes that the promoted target lacks.
func (r *run) judge(promoted *stand.Target) int {
	lost := make(map[string]int)
	for _, w := range r.acked {
		if promoted.Count(w.item, "kept") == 0 {
			lost[w.vm]++
			r.log("LOST: %s was acknowledged by %s at %.3f with position %s, and %s lacks it", w.item, w.vm, w.at.Sub(r.began).Seconds(), w.position, promoted.ID())
		}
	}
	r.log("%d writes were acknowledged, lost by machine: %v", len(r.acked), lost)
	fmt.Printf("%d writes were acknowledged, lost by machine: %v\n", len(r.acked), lost)
	switch {
	case len(r.acked) == 0:
		return 2
	case len(lost) > 0:
		return 1
	}
	return 0
}

func logFile(folder, id string) (*os.File, error) {
	return os.OpenFile(filepath.Join(folder, id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
