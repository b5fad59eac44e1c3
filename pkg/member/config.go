package member

import (
	"time"

	"siskintray.example/siskin"
)

// Config holds the settings of a Members.
type Config struct {
	// Self is this VM. Its incarnation must be larger than that of every
	// earlier run, such as the start time in milliseconds.
	Self siskin.VM
	// Seeds are VMs to ask for members at the start and while this VM knows no
	// other running VM.
	Seeds []siskin.VMID
	// ProbeInterval is the time between two probes; zero means 330 ms. With
	// 3 rings each member is probed at least once a second.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe, and IndirectTimeout the probes by
	// others after it; zero means 300 ms and 400 ms.
	ProbeTimeout, IndirectTimeout time.Duration
	// SuspicionTimeout is the time that a member has to refute a suspicion; zero
	// means 800 ms. Together with the times above, observers declare a VM that
	// does not answer dead within 2.5 s, which leaves 0.5 s of the 3 s to
	// propagate the update.
	SuspicionTimeout time.Duration
	// PushInterval is the shortest time between two pushes of updates; zero means
	// 200 ms.
	PushInterval time.Duration
	// DeadProbeInterval is the time between two probes of dead members, which
	// detect the end of a partition; zero means 5 s.
	DeadProbeInterval time.Duration
	// PauseThreshold is the delay of the loop beyond its longest interval that
	// counts as a pause of this VM; zero means 1 s.
	PauseThreshold time.Duration
	// ListInterval is the time between two reads of the platform's list by the
	// two VMs per data centre that read it; zero means 10 s.
	ListInterval time.Duration
	// RandomSeed seeds the random choices, such as that of helpers.
	RandomSeed uint64
}

const (
	// ringCount is the number of observers of each member. The death of a member
	// goes undetected only if all of them fail at the same time.
	ringCount = 3
	// helperCount is the number of members that probe on behalf of another.
	helperCount = 3
	// maxUpdates and maxPage bound the records in one message, so that a
	// message stays below 8 KB.
	maxUpdates = 16
	maxPage    = 32
	// fallbackFactor times SuspicionTimeout is how long a VM whose own probes of
	// the suspect did not fail waits for the observers to decide.
	fallbackFactor = 4
	// overdueFactor times SuspicionTimeout is when such a VM begins to contact the
	// suspect itself, since neither the observers' decision nor a refutation has
	// arrived in time.
	overdueFactor = 2
	// retention is how long records of dead and gone members are kept.
	retention = 24 * time.Hour
)

func (cfg *Config) setDefaults() {
	setDefault(&cfg.ProbeInterval, 330*time.Millisecond)
	setDefault(&cfg.ProbeTimeout, 300*time.Millisecond)
	setDefault(&cfg.IndirectTimeout, 400*time.Millisecond)
	setDefault(&cfg.SuspicionTimeout, 800*time.Millisecond)
	setDefault(&cfg.PushInterval, 200*time.Millisecond)
	setDefault(&cfg.DeadProbeInterval, 5*time.Second)
	setDefault(&cfg.PauseThreshold, time.Second)
	setDefault(&cfg.ListInterval, 10*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
