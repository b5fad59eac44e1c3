package crew

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/quota"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/pkg/place"
)

// Config holds the dependencies of a Crew.
type Config struct {
	Clock  siskin.Clock
	Self   Node
	Seeds  []string
	Peers  siskin.Peers
	Table  *table.Table
	Roster *roster.Roster
	Views  *views.Views
	Homes  *home.Homes
	// Apply puts an encoded configuration into effect.
	Apply func(encoded []byte, source string)
	Log   *log.Logger
	// StopGrace is the time after which a VM that stops as planned is killed.
	StopGrace time.Duration
	// IsHome reports whether this VM is the home of a target.
	IsHome func(siskin.TargetID) bool
	// PriorityPeers returns the VMs that are pinged more often than others in a
	// large fleet.
	PriorityPeers func() PriorityPeers
}

// Crew is this VM's view of the fleet. It implements siskin.Members.
type Crew struct {
	cfg     Config
	limiter *quota.Limiter
	leaving atomic.Bool
	stop    chan struct{}
	done    sync.WaitGroup

	mu      sync.Mutex
	members map[siskin.VMID]*member // without this VM
	live    []siskin.VM
	// selfListed is set while live contains this VM. liveOutdated is set when
	// live must be computed again.
	selfListed, liveOutdated bool
	changed                  chan struct{}
	seedsPingedAt            time.Time
	// incomplete is set while a peer knows more VMs than this one.
	incomplete   bool
	packedConfig packedConfig
	// packedNodes has its own mutex. nodesRequestedAt is the last time that
	// this VM asked for a list of VMs.
	packedNodes      packedNodes
	nodesRequestedAt time.Time
	fetches          int           // number of fetches from peers in progress
	priority         PriorityPeers // last result of Config.PriorityPeers
	ranker           place.Ranker
	relay            bool      // this VM is a relay of its data centre
	chosenAt         time.Time // last run of choosePeers
	round            int       // number of runs of choosePeers
	watchedFleetSize int       // number of members at the last run of chooseWatched
	// silentUntil is the time until which a data centre counts as silent.
	silentUntil map[siskin.DataCentreID]time.Time
	overload    overload
	// startDelay is the longest delay of a goroutine since the last tick, and
	// lateness the result of Lateness, both in nanoseconds.
	startDelay, lateness atomic.Int64
}

var _ siskin.Members = (*Crew)(nil)

// New returns a Crew that knows only this VM. Start starts its pings.
func New(cfg Config) *Crew {
	c := &Crew{cfg: cfg, stop: make(chan struct{}), members: make(map[siskin.VMID]*member), silentUntil: make(map[siskin.DataCentreID]time.Time), changed: make(chan struct{})}
	c.live, c.selfListed = []siskin.VM{cfg.Self.vm()}, true
	return c
}

// Start starts to ping. Pings carry the loans and stamps of the limiter.
func (c *Crew) Start(limiter *quota.Limiter) {
	c.limiter = limiter
	c.done.Go(c.loop)
}

// Close stops the pings and waits until none is running.
func (c *Crew) Close() error {
	close(c.stop)
	c.done.Wait()
	return nil
}

// Leave tells the peers to send no more work to this VM.
func (c *Crew) Leave() {
	c.leaving.Store(true)
	c.limiter.ReleasePools()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, m := range c.members {
		if c.needsLeaveNotice(id, m) {
			m.nextPing = time.Time{}
		}
	}
	c.updateLive()
}

// needsLeaveNotice reports whether a peer must be told that this VM leaves. In
// a large fleet most VMs get work from callers only, and pings from each VM to
// all others during a rolling restart kept the owners of pools from answering.
// The caller holds mu.
func (c *Crew) needsLeaveNotice(id siskin.VMID, m *member) bool {
	return len(c.members) < fullMeshSize || c.relay || c.priority.ServesOthers || m.interval != 0 || m.watched || c.isRelay(id, m.node.DataCentre)
}
