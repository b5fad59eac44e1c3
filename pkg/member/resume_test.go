package member

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"siskintray.example/siskin"
)

// pausableClock holds the loops of one VM while it is paused.
type pausableClock struct {
	siskin.Clock
	resume atomic.Pointer[chan struct{}] // nil unless paused
}

func (c *pausableClock) After(d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	go func() {
		time.Sleep(d)
		if resume := c.resume.Load(); resume != nil {
			<-*resume
		}
		ch <- time.Now()
	}()
	return ch
}

// TestPause guards against a VM that uses its roles after a pause before it
// has refuted the suspicions and heard from its peers, and against one that
// takes the others for dead.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork(*seed)
		all := startFleet(t, f, 7)
		clock := &pausableClock{Clock: all[0].clock}
		resumed := make(chan time.Duration, 1)
		awakeInCallback := make(chan bool, 1)
		var m *Members
		m = startVM(f, "vm-7", 1, WithClock(clock), WithResumed(func(d time.Duration) {
			awakeInCallback <- m.MayUseRoles()
			resumed <- d
		}))
		waitForLive(t, append(all, m), 8, 10*time.Second)
		resume := make(chan struct{})
		clock.resume.Store(&resume)
		f.setPartition("vm-7", 1)
		waitForLive(t, all, 7, 10*time.Second)
		time.Sleep(5 * time.Second)
		if m.MayUseRoles() {
			t.Error("MayUseRoles during the pause: got true, want false")
		}
		f.setPartition("vm-7", 0)
		clock.resume.Store(nil)
		close(resume)
		waitForLive(t, append(all, m), 8, 2*time.Second)
		if awake, inCallback, gap := m.MayUseRoles(), <-awakeInCallback, <-resumed; !awake || inCallback || gap < 5*time.Second {
			t.Errorf("got MayUseRoles %v, in the callback %v, gap %v; want true, false, at least 5 s", awake, inCallback, gap)
		}
		_ = m.Close()
		time.Sleep(maxIterationInterval + time.Second) // ends the waits of the paused clock
	})
}

// pauseVM cuts a VM off and holds its loops; the function it returns ends both.
func pauseVM(f *fakeNetwork, id siskin.VMID, clock *pausableClock) (resume func()) {
	ch := make(chan struct{})
	clock.resume.Store(&ch)
	f.setPartition(id, 1)
	return func() {
		f.setPartition(id, 0)
		clock.resume.Store(nil)
		close(ch)
	}
}

// TestDeathDuringPause guards against a VM that goes on taking a VM for live
// which died during its pause: the news of the death was over.
func TestDeathDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork(*seed)
		all := startFleet(t, f, 7)
		clock := &pausableClock{Clock: all[0].clock}
		m := startVM(f, "vm-7", 1, WithClock(clock))
		other := startVM(f, "vm-8", 1)
		waitForLive(t, append(all, m), 9, 10*time.Second)
		resume := pauseVM(f, "vm-7", clock)
		waitForLive(t, all, 8, 10*time.Second)
		f.setPartition("vm-8", 2)
		waitForLive(t, all, 7, 10*time.Second)
		time.Sleep(2 * time.Minute)
		resume()
		took := waitForLive(t, append(all, m), 8, 10*time.Second)
		t.Logf("death known %v after the pause", took)
		if limit := 3 * time.Second; took > limit {
			t.Errorf("death known after: got %v, want at most %v", took, limit)
		}
		_, _ = m.Close(), other.Close()
		time.Sleep(maxIterationInterval + time.Second) // ends the waits of the paused clock
	})
}

// TestSupersededDuringPause guards against a run that uses its roles after a
// pause although a later run of the same VM exists.
func TestSupersededDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork(*seed)
		all := startFleet(t, f, 7)
		clock := &pausableClock{Clock: all[0].clock}
		notified := make(chan bool, 1)
		var awake atomic.Bool
		var m *Members
		m = startVM(f, "vm-7", 1, WithClock(clock), WithSuperseded(func() { notified <- true }),
			WithResumed(func(time.Duration) { awake.Store(!m.runEnded.Load()) }))
		waitForLive(t, append(all, m), 8, 10*time.Second)
		ch := make(chan struct{})
		clock.resume.Store(&ch)
		waitForLive(t, all, 8, 10*time.Second)
		// The later run takes the earlier one's place in the fabric, which goes
		// on to carry the calls of both.
		later := startVM(f, "vm-7", 2)
		waitForLive(t, all, 8, 10*time.Second)
		time.Sleep(time.Minute)
		clock.resume.Store(nil)
		close(ch)
		time.Sleep(100 * time.Millisecond)
		if m.MayUseRoles() || awake.Load() {
			t.Errorf("earlier run: got MayUseRoles %v, not superseded in the callback %v; want false, false", m.MayUseRoles(), awake.Load())
		}
		select {
		case <-notified:
		case <-time.After(time.Second):
			t.Error("superseded: got no call, want one")
		}
		_, _ = m.Close(), later.Close()
		time.Sleep(maxIterationInterval + time.Second) // ends the waits of the paused clock
	})
}

// TestPauseAlone guards against a VM without peers that never uses its roles
// again after a pause.
func TestPauseAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork(*seed)
		all := startFleet(t, f, 7)
		clock := &pausableClock{Clock: all[0].clock}
		m := startVM(f, "vm-7", 1, WithClock(clock))
		waitForLive(t, append(all, m), 8, 10*time.Second)
		resume := pauseVM(f, "vm-7", clock)
		time.Sleep(10 * time.Second)
		resume()
		f.setPartition("vm-7", 1) // no peer answers
		took := waitFor(t, 10*time.Second, func() string {
			if !m.MayUseRoles() {
				return "not awake"
			}
			return ""
		})
		if want := resumeTimeout + time.Second; took > want {
			t.Errorf("awake after: got %v, want at most %v", took, want)
		}
		_ = m.Close()
		time.Sleep(maxIterationInterval + time.Second) // ends the waits of the paused clock
	})
}
