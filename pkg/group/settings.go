package group

import (
	"slices"
	"strings"
	"time"

	"siskintray.example/siskin"
)

// Member is one target of the group.
type Member struct {
	ID         siskin.TargetID
	DataCentre siskin.DataCentreID
	// Address is the IP address and port of the target's PostgreSQL listener.
	Address string
}

// Settings describe one group.
type Settings struct {
	Service siskin.ServiceName
	// Self is the VM that this Group runs on.
	Self    siskin.VMID
	Members []Member
	// AckReplicas is the number of replicas that must confirm a write.
	AckReplicas int
	// Interval is the time between probes of one target; default 200 ms.
	Interval time.Duration
	// MaxUnconfirmed is the confirmation delay from which new writes are
	// refused as not run; default 2 s.
	MaxUnconfirmed time.Duration
	// MaxAdmitWait is the longest time that AdmitWrite waits for a primary; default
	// 5 s.
	MaxAdmitWait time.Duration
}

// Defaults of the settings.
const (
	DefaultInterval       = 200 * time.Millisecond
	DefaultMaxUnconfirmed = 2 * time.Second
	DefaultMaxAdmitWait   = 5 * time.Second
)

// withDefaults validates the settings and returns them with defaults and with
// the members sorted by ID.
func (s Settings) withDefaults() (Settings, error) {
	n, k := len(s.Members), s.AckReplicas
	// With 2k < n any two sets of n-k targets overlap, so that at most one VM
	// wins a term. With k < 1 a write could be acknowledged on one target only.
	if k < 1 || 2*k >= n {
		return s, siskin.NewError(siskin.BadInput, "group %s has %d targets and AckReplicas %d", s.Service, n, k).
			WithRemedy("choose AckReplicas so that 1 <= AckReplicas and 2 x AckReplicas < targets")
	}
	s.Members = slices.SortedFunc(slices.Values(s.Members), func(a, b Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	for i := 1; i < n; i++ {
		if s.Members[i].ID == s.Members[i-1].ID {
			return s, siskin.NewError(siskin.BadInput, "group %s names target %s twice", s.Service, s.Members[i].ID).
				WithRemedy("give each target its own id")
		}
	}
	setDefault(&s.Interval, DefaultInterval)
	setDefault(&s.MaxUnconfirmed, DefaultMaxUnconfirmed)
	setDefault(&s.MaxAdmitWait, DefaultMaxAdmitWait)
	return s, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// quorum is the number of claims that a promotion needs and of targets that a
// read floor is sampled from.
func (s *Settings) quorum() int { return len(s.Members) - s.AckReplicas }

// suspectTimeout is the time without an answer after which a target is
// suspected.
func (s *Settings) suspectTimeout() time.Duration { return 3 * s.Interval }

// longDebounce is how long a cause must persist that may concern this VM alone
// or that does not prevent confirmations yet. Like the other limits below, it
// is capped, so that a change of primary takes at most 7 s at the longest
// interval, 1 s.
func (s *Settings) longDebounce() time.Duration { return min(10*s.Interval, 3*time.Second) }

// heartbeatTimeout is the time without a message from the primary after which a
// replica has lost contact with it. Targets send one at least every 50 ms.
func (s *Settings) heartbeatTimeout() time.Duration { return min(s.Interval, 200*time.Millisecond) }

// callTimeout is the time limit of each call to a target.
func (s *Settings) callTimeout() time.Duration { return 3 * s.Interval }
