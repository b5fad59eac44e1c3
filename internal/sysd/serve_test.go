package sysd

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

// TestSessionState guards against values and prepared statements that are lost
// between the statements of a session, or leak into another session on the
// same connection.
func TestSessionState(t *testing.T) {
	f := startFleet(t, 3)
	a, b := f.mustDial(0, "press"), f.mustDial(1, "press")
	f.mustQuery(a, "PREPARE put WRITE q1")
	f.mustQuery(b, "PREPARE put READ q2")
	f.mustQuery(a, "SET mode fast")
	f.mustQuery(a, "EXEC put item-1 first")
	if got := f.mustQuery(b, "EXEC put item-1").Rows; len(got) != 1 || got[0] != "first" && got[0] != "-" {
		t.Errorf("read through another session's statement: got %v", got)
	}
	if got := f.mustQuery(a, "READ item-1").Rows; len(got) != 1 || got[0] != "first" {
		t.Errorf("own write: got %v, want [first]", got)
	}
	if res, err := a.Query("EXEC missing item-1"); err != nil || res.Code != "NOSTMT" {
		t.Errorf("unknown prepared statement: got %s %v, want NOSTMT", res.Code, err)
	}
	if res, err := a.Query("DEALLOC missing"); err != nil || res.Code != "NOSTMT" {
		t.Errorf("deallocation of an unknown statement: got %s %v, want NOSTMT", res.Code, err)
	}
}

// TestTransactions guards against transactions that lose a write, keep one
// that was rolled back, or continue after a failure.
func TestTransactions(t *testing.T) {
	f := startFleet(t, 3)
	c := f.mustDial(0, "orders")
	f.mustQuery(c, "BEGIN")
	f.mustQuery(c, "WRITE order-1 paid")
	if got := f.mustQuery(c, "READ order-1").Rows; len(got) != 1 || got[0] != "paid" {
		t.Errorf("read inside the transaction: got %v, want [paid]", got)
	}
	if res := f.mustQuery(c, "COMMIT"); res.Signature == "-" || res.State != "I" {
		t.Errorf("commit: got signature %s and state %s, want a signature and I", res.Signature, res.State)
	}
	f.mustQuery(c, "BEGIN")
	f.mustQuery(c, "WRITE order-1 refunded")
	f.mustQuery(c, "ROLLBACK")
	if got := f.mustQuery(c, "READ order-1").Rows; len(got) != 1 || got[0] != "paid" {
		t.Errorf("read after the rollback: got %v, want [paid]", got)
	}
	f.mustQuery(c, "BEGIN")
	if res, err := c.Query("EXEC missing x"); err != nil || res.State != "E" {
		t.Errorf("failure inside a transaction: got state %s %v, want E", res.State, err)
	}
	if res, err := c.Query("READ order-1"); err != nil || res.Code != "MALFORMED" {
		t.Errorf("statement after a failure: got %s %v, want MALFORMED", res.Code, err)
	}
	if res := f.mustQuery(c, "ROLLBACK"); res.State != "I" {
		t.Errorf("rollback: got state %s, want I", res.State)
	}
	f.mustQuery(c, "BEGIN")
	if res := f.mustQuery(c, "COMMIT"); res.Signature == "-" {
		t.Error("commit of an empty transaction: got no signature of a target")
	}
}

// TestRefusedSessions guards against sessions that are accepted without a
// route or a valid key.
func TestRefusedSessions(t *testing.T) {
	f := startFleet(t, 3)
	for _, c := range []struct{ database, key, want string }{
		{"nowhere", testKey, "session refused: ERROR NODB"},
		{"orders", "wrong", "session refused: ERROR NOAUTH"},
	} {
		_, err := f.dial(0, c.database, c.key)
		if err == nil || len(err.Error()) < len(c.want) || err.Error()[:len(c.want)] != c.want {
			t.Errorf("%s with key %s: got %v, want %s", c.database, c.key, err, c.want)
		}
	}
}

// TestWithdrawnKey guards against a withdrawn key that stays valid in an open
// session, also at a VM that gets the change from a peer only.
func TestWithdrawnKey(t *testing.T) {
	f := startFleet(t, 3)
	c := f.mustDial(2, "orders")
	f.mustQuery(c, "READ order-1")
	d := testDeployment(2)
	d.Customers[0].Keys = []string{"another"}
	f.platform.SetDeployment(d)
	f.await("the withdrawal is applied", 3*time.Second, func() bool {
		res, err := c.Query("READ order-1")
		return err != nil || res.Code == "NOAUTH"
	})
}

// TestReadsFollowWrites guards against reads at replicas that miss the
// session's own write.
func TestReadsFollowWrites(t *testing.T) {
	f := startFleet(t, 3)
	c := f.mustDial(1, "press")
	for i := range 60 {
		want := fmt.Sprintf("v%d", i)
		f.mustQuery(c, "WRITE job "+want)
		if got := f.mustQuery(c, "READ job").Rows; len(got) != 1 || got[0] != want {
			t.Fatalf("read after write %d: got %v, want [%s]", i, got, want)
		}
	}
}

// TestStoreOutage guards against a fleet that stops serving, or a new VM that
// does not start, while the store is down.
func TestStoreOutage(t *testing.T) {
	f := startFleet(t, 3)
	f.platform.SetStoreFaults(stand.StoreFaults{Down: true})
	n := f.start(3)
	f.set(3, n)
	f.await("a VM that starts during the outage is ready", 5*time.Second, n.ready)
	c := f.mustDial(3, "orders")
	f.await("that VM serves writes", 3*time.Second, func() bool {
		res, err := c.Query("WRITE order-2 paid")
		return err == nil && res.Code == ""
	})
	resp, err := http.Get("http://" + n.cfg.Ready.Address + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("readiness while the store is down: got %d, want 200", resp.StatusCode)
	}
}

// TestFewStoreCalls guards against store calls whose number grows with the
// number of VMs.
func TestFewStoreCalls(t *testing.T) {
	f := startFleet(t, 6)
	time.Sleep(time.Second)
	before := f.platform.StoreCalls()
	const span = 4 * time.Second
	time.Sleep(span)
	// One read of the configuration every second and one list of a single page
	// every 1.5 s. Twice that allows for VMs that read at the same time.
	if got, most := f.platform.StoreCalls()-before, int64(2*(4+3)); got > most {
		t.Errorf("store calls by 6 VMs in %v: got %d, want at most %d", span, got, most)
	}
}

// TestStoreCallsOfLargeFleet guards against store calls whose number grows
// with the fleet, at its start and later. The start of 68 VMs took more than
// 500 calls.
func TestStoreCallsOfLargeFleet(t *testing.T) {
	const vms = 20
	f := startFleetApart(t, vms, testService())
	// Each VM registers itself. Seeds and relays read what the others get from
	// them, and one VM creates the record of share holders.
	t.Logf("store calls until the VMs were ready: %d, until each admitted a statement: %d", f.startCalls, f.platform.StoreCalls())
	if got, most := f.startCalls, int64(3*vms); got > most {
		t.Errorf("store calls at the start of %d VMs: got %d, want at most %d", vms, got, most)
	}
	time.Sleep(3 * time.Second)
	before, beforeOf := f.platform.StoreCalls(), make(map[string]int64)
	kinds := []string{"config", "servers", "evacuations", "rights", "groups", "vms"}
	for _, kind := range kinds {
		beforeOf[kind] = f.platform.StoreCallsOf(kind)
	}
	const span = 5 * time.Second
	time.Sleep(span)
	// The configuration is read every second and the targets every 1.5 s, and
	// half as many reads again are allowed for while the reader changes.
	most := int64(1.5 * span.Seconds() * (1 + 1/1.5))
	if got := f.platform.StoreCalls() - before; got > most {
		t.Errorf("store calls by %d VMs in %v: got %d, want at most %d", vms, span, got, most)
		for _, kind := range kinds {
			t.Logf("store calls for objects of kind %s: %d", kind, f.platform.StoreCallsOf(kind)-beforeOf[kind])
		}
	}
}

// TestRates guards against customers that get more than their rate and burst
// by sending through several VMs.
func TestRates(t *testing.T) {
	f := startFleet(t, 3)
	d := testDeployment(2)
	d.Customers[0].Rate, d.Customers[0].Burst = 20, 20
	f.platform.SetDeployment(d)
	f.await("the rate is applied", 4*time.Second, func() bool {
		for _, n := range f.nodes {
			if n.table.Snapshot().Version != siskin.Revision(2) {
				return false
			}
		}
		return true
	})
	deadline := time.Now().Add(3 * time.Second)
	counts := make(chan int)
	for vm := range 3 {
		go func() {
			n := 0
			defer func() { counts <- n }()
			c, err := f.dial(vm, "designs", testKey)
			if err != nil {
				return
			}
			defer c.Conn.Close()
			for time.Now().Before(deadline) {
				if res, err := c.Query("READ x"); err == nil && res.Code == "" {
					n++
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	got := <-counts + <-counts + <-counts
	if most := 20*3 + 20 + 1; got > most {
		t.Errorf("requests admitted in 3 s: got %d, want at most %d", got, most)
	}
	if least := 40; got < least {
		t.Errorf("requests admitted in 3 s: got %d, want at least %d", got, least)
	}
}
