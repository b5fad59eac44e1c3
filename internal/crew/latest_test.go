package crew

import (
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
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
