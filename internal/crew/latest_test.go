package crew

import (
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/quota"
)

// TestLatestTargets guards against a VM that takes its list of targets for the
// newest one although another VM, which it is not in contact with, may have a
// newer one.
func TestLatestTargets(t *testing.T) {
	t.Parallel()
	f := newFabric(t)
	var crews []*testCrew
	for i := range 3 {
		crews = append(crews, f.add(i))
	}
	waitFor(t, "all VMs know each other", 5*time.Second, func() bool { return len(crews[0].Live()) == 3 && len(crews[1].Live()) == 3 })
	read := func(version siskin.Version) {
		crews[1].roster.Replace([]siskin.TargetInfo{{ID: "t", Service: "s"}}, version, boot.Clock{}.Now())
	}
	read(1)
	waitFor(t, "the list reaches the other VM", 2*time.Second, func() bool { return len(crews[0].roster.Service("s")) == 1 })
	waitFor(t, "the VM knows that no other has a newer list", 2*time.Second, crews[0].HasLatestTargets)
	f.setCut("vm-01", true)
	read(2)
	waitFor(t, "a VM that is cut off may have a newer list", 2*latestContactAge, func() bool { return !crews[0].HasLatestTargets() })
	waitFor(t, "a VM that is cut off itself cannot know", latestContactAge, func() bool { return !crews[1].HasLatestTargets() })
	f.setCut("vm-01", false)
	waitFor(t, "the newer list arrives", 3*time.Second, func() bool {
		version, _ := crews[0].roster.Version()
		return version == 2 && crews[0].HasLatestTargets()
	})
}

// TestRightsWithoutAge guards against a record of shares that counts as just read
// because a ping does not tell its age.
func TestRightsWithoutAge(t *testing.T) {
	t.Parallel()
	c := newFabric(t).add(0)
	begun := boot.Clock{}.Now()
	c.limiter.SetRights(quota.Rights{Version: 1, Era: siskin.FirstEra, Slots: []quota.Slot{{Holder: "vm-00"}}}, begun)
	for _, age := range []time.Duration{0, time.Second} {
		now := begun.Add(10 * time.Second)
		c.applyVersions(&State{Rights: 1, RightsAge: age}, now)
		want := begun
		if age > 0 {
			want = now.Add(-age)
		}
		if _, got := c.limiter.RightsVersion(); !got.Equal(want) {
			t.Errorf("read of the record after a ping with age %v: got %v after the first, want %v", age, got.Sub(begun), want.Sub(begun))
		}
	}
}
