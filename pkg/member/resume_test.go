package member

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"siskintray.example/siskin"
)

// pausedClock holds the loops of one VM while it is paused.
type pausedClock struct {
	siskin.Clock
	resume atomic.Pointer[chan struct{}] // nil unless paused
}

func (c *pausedClock) After(d time.Duration) <-chan time.Time {
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
		f := newFabric(*seed)
		all := fleet(t, f, 7)
		clock := &pausedClock{Clock: all[0].clock}
		resumed := make(chan time.Duration, 1)
		awakeInCallback := make(chan bool, 1)
		var m *Members
		m = startVM(f, "vm-7", 1, WithClock(clock), WithResumed(func(d time.Duration) {
			awakeInCallback <- m.MayUseRoles()
			resumed <- d
		}))
		settle(t, append(all, m), 8, 10*time.Second)
		resume := make(chan struct{})
		clock.resume.Store(&resume)
		f.kill("vm-7", 1)
		settle(t, all, 7, 10*time.Second)
		time.Sleep(5 * time.Second)
		if m.MayUseRoles() {
			t.Error("MayUseRoles during the pause: got true, want false")
		}
		f.kill("vm-7", 0)
		clock.resume.Store(nil)
		close(resume)
		settle(t, append(all, m), 8, 2*time.Second)
		if awake, inCallback, gap := m.MayUseRoles(), <-awakeInCallback, <-resumed; !awake || inCallback || gap < 5*time.Second {
			t.Errorf("got MayUseRoles %v, in the callback %v, gap %v; want true, false, at least 5 s", awake, inCallback, gap)
		}
		_ = m.Close()
		time.Sleep(maxWait + time.Second) // ends the waits of the paused clock
	})
}

// pauseVM cuts a VM off and holds its loops; the function it returns ends both.
func pauseVM(f *fabric, id siskin.VMID, clock *pausedClock) (resume func()) {
	ch := make(chan struct{})
	clock.resume.Store(&ch)
	f.kill(id, 1)
	return func() {
		f.kill(id, 0)
		clock.resume.Store(nil)
		close(ch)
	}
}

// TestDeathDuringPause guards against a VM that goes on taking a VM for live
// which died during its pause: the news of the death was over.
func TestDeathDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric(*seed)
		all := fleet(t, f, 7)
		clock := &pausedClock{Clock: all[0].clock}
		m := startVM(f, "vm-7", 1, WithClock(clock))
		other := startVM(f, "vm-8", 1)
		settle(t, append(all, m), 9, 10*time.Second)
		resume := pauseVM(f, "vm-7", clock)
		settle(t, all, 8, 10*time.Second)
		f.kill("vm-8", 2)
		settle(t, all, 7, 10*time.Second)
		time.Sleep(2 * time.Minute)
		resume()
		took := settle(t, append(all, m), 8, 10*time.Second)
		t.Logf("death known %v after the pause", took)
		if limit := 3 * time.Second; took > limit {
			t.Errorf("death known after: got %v, want at most %v", took, limit)
		}
		_, _ = m.Close(), other.Close()
		time.Sleep(maxWait + time.Second) // ends the waits of the paused clock
	})
}

// TestSupersededDuringPause guards against a run that uses its roles after a
// pause although a later run of the same VM exists.
func TestSupersededDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric(*seed)
		all := fleet(t, f, 7)
		clock := &pausedClock{Clock: all[0].clock}
		told := make(chan bool, 1)
		var awake atomic.Bool
		var m *Members
		m = startVM(f, "vm-7", 1, WithClock(clock), WithSuperseded(func() { told <- true }),
			WithResumed(func(time.Duration) { awake.Store(!m.over.Load()) }))
		settle(t, append(all, m), 8, 10*time.Second)
		ch := make(chan struct{})
		clock.resume.Store(&ch)
		settle(t, all, 8, 10*time.Second)
		// The later run takes the earlier one's place in the fabric, which goes
		// on to carry the calls of both.
		later := startVM(f, "vm-7", 2)
		settle(t, all, 8, 10*time.Second)
		time.Sleep(time.Minute)
		clock.resume.Store(nil)
		close(ch)
		time.Sleep(100 * time.Millisecond)
		if m.MayUseRoles() || awake.Load() {
			t.Errorf("earlier run: got MayUseRoles %v, not superseded in the callback %v; want false, false", m.MayUseRoles(), awake.Load())
		}
		select {
		case <-told:
		case <-time.After(time.Second):
			t.Error("superseded: got no call, want one")
		}
		_, _ = m.Close(), later.Close()
		time.Sleep(maxWait + time.Second) // ends the waits of the paused clock
	})
}

// TestPauseAlone guards against a VM without peers that never uses its roles
// again after a pause.
func TestPauseAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric(*seed)
		all := fleet(t, f, 7)
		clock := &pausedClock{Clock: all[0].clock}
		m := startVM(f, "vm-7", 1, WithClock(clock))
		settle(t, append(all, m), 8, 10*time.Second)
		resume := pauseVM(f, "vm-7", clock)
		time.Sleep(10 * time.Second)
		resume()
		f.kill("vm-7", 1) // no peer answers
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
		time.Sleep(maxWait + time.Second) // ends the waits of the paused clock
	})
}
