package member

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"siskintray.example/siskin"
)

// pausableClock blocks the loops of one VM while it is paused.
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

// TestPause guards against a VM that uses its roles after a pause before it has
// refuted the suspicions and heard from its peers, and against one that declares
// the others dead.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork(*seed)
		all := startFleet(t, f, 7)
		clock := &pausableClock{Clock: all[0].clock}
		resumed := make(chan time.Duration, 1)
		allowedInCallback := make(chan bool, 1)
		var m *Members
		m = startVM(f, "vm-7", 1, WithClock(clock), WithResumed(func(d time.Duration) {
			allowedInCallback <- m.MayUseRoles()
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
		if allowed, inCallback, gap := m.MayUseRoles(), <-allowedInCallback, <-resumed; !allowed || inCallback || gap < 5*time.Second {
			t.Errorf("got MayUseRoles %v, in the callback %v, gap %v; want true, false, at least 5 s", allowed, inCallback, gap)
		}
		_ = m.Close()
		time.Sleep(maxIterationInterval + time.Second) // ends the waits of the paused clock
	})
}

// pauseVM partitions a VM off and blocks its loops; the function it returns ends
// both.
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

// TestDeathDuringPause guards against a VM that after a pause still lists as live
// a VM that died during it, because updates about the death are no longer sent.
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
		t.Logf("death detected by all %v after the pause", took)
		if limit := 3 * time.Second; took > limit {
			t.Errorf("death detected by all after the pause: got %v, want at most %v", took, limit)
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
		var allowed atomic.Bool
		var m *Members
		m = startVM(f, "vm-7", 1, WithClock(clock), WithSuperseded(func() { notified <- true }),
			WithResumed(func(time.Duration) { allowed.Store(!m.runEnded.Load()) }))
		waitForLive(t, append(all, m), 8, 10*time.Second)
		ch := make(chan struct{})
		clock.resume.Store(&ch)
		waitForLive(t, all, 8, 10*time.Second)
		// The later run replaces the earlier one as receiver of calls to vm-7;
		// both can still make calls.
		later := startVM(f, "vm-7", 2)
		waitForLive(t, all, 8, 10*time.Second)
		time.Sleep(time.Minute)
		clock.resume.Store(nil)
		close(ch)
		time.Sleep(100 * time.Millisecond)
		if m.MayUseRoles() || allowed.Load() {
			t.Errorf("earlier run: got MayUseRoles %v, not superseded in the callback %v; want false, false", m.MayUseRoles(), allowed.Load())
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
				return "MayUseRoles: got false, want true"
			}
			return ""
		})
		if want := resumeTimeout + time.Second; took > want {
			t.Errorf("MayUseRoles true after: got %v, want at most %v", took, want)
		}
		_ = m.Close()
		time.Sleep(maxIterationInterval + time.Second) // ends the waits of the paused clock
	})
}
