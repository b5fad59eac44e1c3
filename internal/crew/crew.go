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

// Config holds what a Crew depends on.
type Config struct {
	Clock  siskin.Clock
	Self   Node
	Seeds  []string
	Peers  siskin.Peers
	Table  *table.Table
	Roster *roster.Roster
	Views  *views.Views
	Homes  *home.Homes
	// Apply puts an encoded configuration in force.
	Apply func(encoded []byte, source string)
	Log   *log.Logger
	// IsHome reports whether this VM is the home of a target.
	IsHome func(siskin.TargetID) bool
	// PriorityPeers returns the VMs that are pinged more often than others in a large
	// fleet.
	PriorityPeers func() PriorityPeers
}

// Crew is one VM's view of the fleet. It implements siskin.Members.
type Crew struct {
	cfg     Config
	limiter *quota.Limiter
	leaving atomic.Bool
	stop    chan struct{}
	done    sync.WaitGroup

	mu      sync.Mutex
	members map[siskin.VMID]*member // without this VM
	live    []siskin.VM
	// selfListed says that live holds this VM, and liveOutdated that it is out of date.
	selfListed, liveOutdated bool
	changed                  chan struct{}
	seedsPingedAt            time.Time
	// incomplete says that a peer knows more VMs than this one.
	incomplete   bool
	packedConfig packedConfig
	// packedNodes is guarded by its own mutex, wantedNodes is the last time that
	// this VM asked for a list.
	packedNodes      packedNodes
	nodesRequestedAt time.Time
	fetches          int           // in progress
	priority         PriorityPeers // as Config.PriorityPeers returned them
	ranker           place.Ranker
	relay            bool      // this VM is a relay of its data centre
	chosenAt         time.Time // last time that peers were sorted
	round            int       // number of times
	watchedFleetSize int       // number of members when the watched ones were chosen
	// silentUntil says until when data centres are held to be silentUntil.
	silentUntil map[siskin.DataCentreID]time.Time
}

var _ siskin.Members = (*Crew)(nil)

// New returns a Crew that knows only this VM. Start begins to ping.
func New(cfg Config) *Crew {
	c := &Crew{cfg: cfg, stop: make(chan struct{}), members: make(map[siskin.VMID]*member), silentUntil: make(map[siskin.DataCentreID]time.Time), changed: make(chan struct{})}
	c.live, c.selfListed = []siskin.VM{cfg.Self.vm()}, true
	return c
}

// Start begins to ping. The limiter takes part in the pings.
func (c *Crew) Start(limiter *quota.Limiter) {
	c.limiter = limiter
	c.done.Go(c.loop)
}

// Close stops pinging and waits.
func (c *Crew) Close() error {
	close(c.stop)
	c.done.Wait()
	return nil
}

// Leave tells the peers to give this VM no further work.
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

// needsLeaveNotice reports whether a peer has to know that this VM leaves. In a large
// fleet most VMs get work of callers only; with a ping of each to all others a
// rolling restart kept the owners of pools from answering. The caller holds mu.
func (c *Crew) needsLeaveNotice(id siskin.VMID, m *member) bool {
	return len(c.members) < fullMesh || c.relay || c.priority.ServesOthers || m.interval != 0 || m.watched || c.isRelay(id, m.node.DataCentre)
}
