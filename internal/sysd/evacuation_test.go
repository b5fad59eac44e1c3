package sysd

import (
	"slices"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform"
	"siskintray.example/siskin/platform/stand"
)

// evacuate requests the evacuation of a data centre and returns the time at
// which the store had acknowledged it.
func (f *testFleet) evacuate(dc string) time.Time {
	f.platform.Put(string(platform.KindEvacuations), dc, struct{}{})
	return time.Now()
}

func (f *testFleet) reinstate(dc string) { f.platform.Delete(string(platform.KindEvacuations), dc) }

// startTraffic reads and writes in short sessions at all VMs until stop is
// closed, with a transaction of several statements now and then. The returned
// group waits for it.
func (f *testFleet) startTraffic(stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for vm := range len(f.nodes) {
		for _, database := range []string{"orders", "designs", "press"} {
			wg.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
					}
					c, err := f.dial(vm, database, testKey)
					if err != nil {
						continue
					}
					texts := []string{"READ a", "WRITE a 1"}
					if i%5 == 0 {
						texts = []string{"BEGIN", "WRITE a 1", "READ a", "COMMIT"}
					}
					for _, text := range texts {
						if _, err := c.Query(text); err != nil {
							break
						}
						time.Sleep(20 * time.Millisecond)
					}
					c.Conn.Close()
				}
			})
		}
	}
	return &wg
}

// statementsAt returns the number of statements of callers that reached
// targets of a data centre within a period.
func (f *testFleet) statementsAt(dc siskin.DataCentreID, from, to time.Time) int {
	n := 0
	for _, target := range f.platform.Targets("ledger") {
		if info, ok := f.node(0).roster.Target(target.ID()); ok && info.DataCentre == dc {
			for _, at := range target.Arrivals("acme") {
				if at.After(from) && at.Before(to) {
					n++
				}
			}
		}
	}
	return n
}

func (f *testFleet) primaryDataCentre() siskin.DataCentreID {
	p := f.platform.Primary("ledger")
	if p == nil {
		return ""
	}
	info, _ := f.node(0).roster.Target(p.ID())
	return info.DataCentre
}

// TestEvacuation guards against statements that reach an evacuated data centre
// later than the operator allows, from VMs with and without access to the
// store, against a primary that stays there, and against a data centre that is
// not used again after the evacuation ends.
func TestEvacuation(t *testing.T) {
	f := startFleet(t, 3)
	f.withoutStore[3] = true
	f.set(3, f.start(3))
	f.await("the VM without the store is ready", 5*time.Second, func() bool { return f.node(3).ready() })
	stop := make(chan struct{})
	traffic := f.startTraffic(stop)
	defer func() {
		close(stop)
		traffic.Wait()
	}()
	from := f.primaryDataCentre()
	begun := time.Now()
	acknowledged := f.evacuate(string(from))
	f.await("all VMs apply the evacuation and the primary is elsewhere", testEvacuateWithin, func() bool {
		for i := range len(f.nodes) {
			list, _, _ := f.node(i).roster.Evacuations()
			if !slices.Equal(list, []siskin.DataCentreID{from}) {
				return false
			}
		}
		return f.primaryDataCentre() != from
	})
	t.Logf("applied with the primary elsewhere after %v", time.Since(begun).Round(10*time.Millisecond))
	bound := acknowledged.Add(testEvacuateWithin)
	time.Sleep(time.Until(bound.Add(time.Second)))
	// A VM that starts now must not send statements to the evacuated data
	// centre. It admits statements only once its shares of the rates have
	// filled.
	f.set(4, f.start(4))
	f.await("the VM that starts is ready", 5*time.Second, func() bool { return f.node(4).ready() })
	reader, served := f.mustDial(4, "designs"), 0
	f.await("the VM that starts serves reads", 5*time.Second, func() bool {
		if res, err := reader.Query("READ a"); err == nil && res.Code == "" {
			served++
		}
		return served == 50
	})
	writer := f.mustDial(3, "orders")
	f.await("writes succeed elsewhere", time.Second, func() bool {
		res, err := writer.Query("WRITE b 1")
		return err == nil && res.Code == ""
	})
	if got := f.statementsAt(from, bound, time.Now()); got != 0 {
		t.Errorf("statements at %s later than %v after the evacuation: got %d, want none", from, testEvacuateWithin, got)
	}
	f.reinstate(string(from))
	back := time.Now()
	f.await("the data centre is used again", testEvacuateWithin, func() bool { return f.statementsAt(from, back, time.Now()) > 0 })
}

// TestEvacuationOfAll guards against statements to the last data centre of a
// service when all are evacuated, and against callers that wait instead of
// being refused.
func TestEvacuationOfAll(t *testing.T) {
	f := startFleet(t, 3)
	stop := make(chan struct{})
	traffic := f.startTraffic(stop)
	defer func() {
		close(stop)
		traffic.Wait()
	}()
	var last time.Time
	for _, dc := range []string{"dc-1", "dc-2", "dc-3"} {
		last = f.evacuate(dc)
		time.Sleep(300 * time.Millisecond)
	}
	bound := last.Add(testEvacuateWithin)
	time.Sleep(time.Until(bound))
	c := f.mustDial(1, "orders")
	for range 20 {
		start := time.Now()
		res, err := c.Query("WRITE a 1")
		if err != nil || res.Code != "BUSY" {
			t.Errorf("write with all data centres evacuated: got %s %s %v, want BUSY", res.Code, res.Text, err)
		}
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Errorf("time to the refusal: got %v, want less than 200ms", took)
		}
	}
	for _, dc := range []siskin.DataCentreID{"dc-1", "dc-2", "dc-3"} {
		if got := f.statementsAt(dc, bound, time.Now()); got != 0 {
			t.Errorf("statements at %s: got %d, want none", dc, got)
		}
	}
	for _, dc := range []string{"dc-1", "dc-2", "dc-3"} {
		f.reinstate(dc)
	}
	f.await("writes succeed again", testEvacuateWithin, func() bool {
		res, err := c.Query("WRITE a 1")
		return err == nil && res.Code == ""
	})
}

// TestEvacuationDuringChange guards against an evacuation that is lost when
// the primary crashes at the same time, and against a failover into the
// evacuated data centre while another target can be promoted.
func TestEvacuationDuringChange(t *testing.T) {
	f := startFleet(t, 3)
	stop := make(chan struct{})
	traffic := f.startTraffic(stop)
	defer func() {
		close(stop)
		traffic.Wait()
	}()
	primary := f.platform.Primary("ledger")
	var evacuated siskin.DataCentreID
	for _, target := range f.platform.Targets("ledger") {
		if info, ok := f.node(0).roster.Target(target.ID()); ok && target != primary {
			evacuated = info.DataCentre
		}
	}
	acknowledged := f.evacuate(string(evacuated))
	f.platform.SetStoreFaults(stand.StoreFaults{Delay: 300 * time.Millisecond})
	primary.Crash()
	f.await("another target outside of the evacuated data centre is the primary", testEvacuateWithin, func() bool {
		p := f.platform.Primary("ledger")
		return p != nil && p != primary && f.primaryDataCentre() != evacuated
	})
	bound := acknowledged.Add(testEvacuateWithin)
	time.Sleep(time.Until(bound.Add(time.Second)))
	if got := f.statementsAt(evacuated, bound, time.Now()); got != 0 {
		t.Errorf("statements at %s later than %v after the evacuation: got %d, want none", evacuated, testEvacuateWithin, got)
	}
	if got := f.primaryDataCentre(); got == evacuated {
		t.Errorf("data centre of the primary: got %s, want another one", got)
	}
	writer := f.mustDial(1, "orders")
	f.await("writes succeed", time.Second, func() bool {
		res, err := writer.Query("WRITE b 1")
		return err == nil && res.Code == ""
	})
}

// TestEvacuationUnfenced guards against a primary that stays in an evacuated
// data centre, and against lost commits, on a platform that checks no fencing
// tokens.
func TestEvacuationUnfenced(t *testing.T) {
	f := startUnfencedFleet(t, 3)
	stop := make(chan struct{})
	writers := f.startWriters(stop)
	from := f.primaryDataCentre()
	acknowledged := f.evacuate(string(from))
	f.await("the primary is elsewhere", testEvacuateWithin, func() bool { return f.primaryDataCentre() != from })
	bound := acknowledged.Add(testEvacuateWithin)
	time.Sleep(time.Until(bound.Add(time.Second)))
	close(stop)
	list := writers()
	if got := f.statementsAt(from, bound, time.Now()); got != 0 {
		t.Errorf("statements at %s later than %v after the evacuation: got %d, want none", from, testEvacuateWithin, got)
	}
	f.checkWrites(list)
}
