package limit

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// pair starts two VMs in one data centre. It returns the core that holds all
// units, the other core and the bucket of the customer.
func pair(t *testing.T) (donor, requester *core, bucket int) {
	t.Helper()
	f := newFleet(1, &config.Customer{ID: "a", Rate: 100, Burst: 100})
	one, two := f.start("v1", 1, "d1"), f.start("v2", 1, "d1")
	for _, n := range []*node{one, two, one} { // at its second read, the first VM knows both holders
		n.l.readRecords(t.Context())
		n.l.core.prepare("a")
		if err := n.l.readRecord(t.Context(), bucketOf("a")); err != nil {
			t.Fatal(err)
		}
	}
	donor, requester = one.l.core, two.l.core
	if donor.units("a") == 0 {
		donor, requester = requester, donor
	}
	return donor, requester, bucketOf("a")
}

// ask makes the requester reject a request and returns its request for units.
func ask(t *testing.T, requester *core) *AskArgs {
	t.Helper()
	requester.admit(1e6, "a", 1, true)
	out := requester.plan(1e6)
	if len(out) != 1 {
		t.Fatalf("got %d messages, want 1", len(out))
	}
	return out[0].args
}

// TestTransferInFlightIsVoidInNextEpoch guards against units that arrive after
// a reclaim counted them as missing.
func TestTransferInFlightIsVoidInNextEpoch(t *testing.T) {
	donor, requester, i := pair(t)
	args := ask(t, requester)
	reply := donor.handleAsk(2e6, args)
	if reply.Items[0].Units == 0 {
		t.Fatal("got no units, want some")
	}
	for _, c := range []*core{donor, requester} {
		if _, err := c.report(i, 2); err != nil {
			t.Fatal(err)
		}
	}
	requester.handleReply(3e6, donor.self.VM, args.Seq, &reply)
	if got := requester.units("a"); got != 0 {
		t.Errorf("got %d units of epoch 1 in epoch 2, want 0", got)
	}
}

// TestDonorRefusesRequesterOfOtherEpoch guards against units that are counted
// twice, because they are given after the donor reported and before the
// requester reports.
func TestDonorRefusesRequesterOfOtherEpoch(t *testing.T) {
	donor, requester, i := pair(t)
	args := ask(t, requester)
	if _, err := donor.report(i, 2); err != nil {
		t.Fatal(err)
	}
	if got := donor.handleAsk(2e6, args).Items[0].Units; got != 0 {
		t.Errorf("got %d units for a requester of epoch 1, want 0", got)
	}
}

// TestReportIsFrozen guards against units that are granted twice, because a VM
// that continues a reclaim gets another report than the VM that began it.
func TestReportIsFrozen(t *testing.T) {
	donor, requester, i := pair(t)
	first, err := donor.report(i, 2)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := requester.report(i, 2); err != nil {
		t.Fatal(err)
	}
	if donor.handleAsk(2e6, ask(t, requester)).Items[0].Units == 0 {
		t.Fatal("got no units, want some")
	}
	if second, _ := donor.report(i, 2); !reflect.DeepEqual(first, second) {
		t.Errorf("got %+v the second time, want %+v", second, first)
	}
	if _, err := donor.report(i, 1); siskin.KindOf(err) != siskin.Conflict {
		t.Errorf("got %v for a past epoch, want kind Conflict", err)
	}
}

// TestStaleMessages guards against units that are transferred again by a
// message for another incarnation of a VM, or by one that arrives after a
// later message.
func TestStaleMessages(t *testing.T) {
	donor, requester, _ := pair(t)
	args := ask(t, requester)
	first := donor.handleAsk(2e6, args)
	if again := donor.handleAsk(2e6, args); !reflect.DeepEqual(first, again) {
		t.Errorf("got %+v for a repeated request, want %+v", again, first)
	}
	later := *args
	later.Seq++
	donor.handleAsk(3e6, &later)
	if !donor.handleAsk(4e6, args).Stale {
		t.Error("got an answer to a request before the latest one, want Stale")
	}
	other := later
	other.Seq++
	other.ToIncarnation++
	if !donor.handleAsk(5e6, &other).Stale {
		t.Error("got an answer to a request for another incarnation, want Stale")
	}
}

// TestOldGrantIsVoid guards against a slow read of the record that applies a
// grant of units which a later epoch counted as missing.
func TestOldGrantIsVoid(t *testing.T) {
	_, requester, i := pair(t)
	if _, err := requester.report(i, 3); err != nil {
		t.Fatal(err)
	}
	old := record{Epoch: 2, Holders: []holderID{requester.self}, Grants: []grant{{To: requester.self, Rest: siskin.TotalQuotaUnits}}}
	requester.apply(1e6, i, &old)
	if got := requester.units("a"); got != 0 {
		t.Errorf("got %d units from a grant of a past epoch, want 0", got)
	}
}

// TestReportReadsRecord guards against a VM that started an epoch for a report
// but knows neither its holders nor the end of its reclaim.
func TestReportReadsRecord(t *testing.T) {
	_, requester, i := pair(t)
	requester.workQueue.takeBuckets()
	if _, err := requester.report(i, 2); err != nil {
		t.Fatal(err)
	}
	if got := requester.workQueue.takeBuckets(); len(got) != 1 || got[0] != i {
		t.Errorf("got buckets %v to read, want [%d]", got, i)
	}
}

// TestWaitingRequestsComeFirst guards against requests that wait although
// their tokens cannot accrue in time, and against a new request that takes the
// tokens that a waiting one needs.
func TestWaitingRequestsComeFirst(t *testing.T) {
	donor, _, _ := pair(t)
	donor.stopping.Store(true) // excludes units from other VMs
	now := time.Millisecond
	for donor.admit(now, "a", 1, true).Admitted {
	}
	waiting := 0
	for range 20 {
		if _, _, ok := donor.startWait(now, "a", 1, now+50*time.Millisecond); ok {
			waiting++
		}
	}
	if got, want := waiting, 5; got > want || got < want-1 { // 100 a second for 50 ms
		t.Errorf("got %d waiting requests, want %d", got, want)
	}
	now += 15 * time.Millisecond
	if donor.admit(now, "a", 1, true).Admitted {
		t.Error("got a new request admitted before the waiting ones, want it refused")
	}
	if donor.endWait("a", 1); !donor.admit(now, "a", 1, false).Admitted {
		t.Error("got the waiting request refused, want it admitted")
	}
}

// TestMessagesSurviveEncoding guards against a message type that net/rpc
// cannot encode.
func TestMessagesSurviveEncoding(t *testing.T) {
	holders := []holderID{{"v1", 3}}
	for _, m := range []struct{ sent, received any }{
		{&AskArgs{From: "v1", Seq: 2, Items: []AskItem{{Customer: "a", Epoch: 1, Units: 5, Demand: 2}}}, &AskArgs{}},
		{&AskReply{Items: []TransferItem{{Customer: "a", Units: 7, Tokens: 1.5, Holders: holders, RichestAge: 3}}}, &AskReply{}},
		{&ReportArgs{Bucket: 4, Epoch: 2, ToIncarnation: 3}, &ReportArgs{}},
		{&ReportReply{Rest: 9, Customers: map[siskin.CustomerID]siskin.QuotaUnits{"a": 1}}, &ReportReply{}},
	} {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(m.sent); err != nil {
			t.Fatal(err)
		}
		if err := gob.NewDecoder(&b).Decode(m.received); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(m.sent, m.received) {
			t.Errorf("got %+v, want %+v", m.received, m.sent)
		}
	}
}

// TestTombstoneOfEarlierRun guards against a lagging member list: the
// tombstone of an earlier incarnation of a VM is no evidence about its present
// one.
func TestTombstoneOfEarlierRun(t *testing.T) {
	f := newFleet(1)
	n := f.start("v1", 2, "d1")
	n.vm.State = siskin.VMGone
	for incarnation, want := range map[siskin.Incarnation]bool{1: true, 2: true, 3: false} {
		if got := n.l.gone(holderID{"v1", incarnation}); got != want {
			t.Errorf("got gone %v for incarnation %d with a tombstone of 2, want %v", got, incarnation, want)
		}
	}
}

// TestForgottenLink guards against a donor that rejects requests as stale after
// the requester has deleted its state about that donor.
func TestForgottenLink(t *testing.T) {
	donor, requester, _ := pair(t)
	first := ask(t, requester)
	donor.handleAsk(2e6, first)
	requester.forgetGone(func(h holderID) bool { return h.VM == donor.self.VM })
	requester.admit(1e9, "a", 1, true)
	next := requester.plan(1e9)
	if len(next) != 1 || donor.handleAsk(1e9, next[0].args).Stale {
		t.Errorf("got %d messages or a stale answer after forgetting, want a new request and its answer", len(next))
	}
}
