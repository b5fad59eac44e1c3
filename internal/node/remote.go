package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/shard"
)

// Timing of requests to other VMs for their views.
const (
	// viewInterval is the time between two requests about one group. It grows
	// with the number of groups in use, so that the requests of one VM stay
	// below viewsPerSecond.
	viewInterval = 250 * time.Millisecond
	// viewsPerSecond is about 3 KB/s at 600 bytes for request and response, less
	// than half of the 7 KB/s that a VM may use for control traffic.
	viewsPerSecond = 5
	viewTimeout    = time.Second
	// noPrimaryInterval replaces viewInterval while a group has no primary that
	// takes writes, since each interval adds to the write gap of a failover.
	noPrimaryInterval = 50 * time.Millisecond
	// viewIdleTimeout is the time without use after which a group's view is no
	// longer requested.
	viewIdleTimeout = 30 * time.Second
)

// remoteViews polls other VMs for the views of groups that this VM does not
// probe, while these are in use.
type remoteViews struct {
	self   siskin.VMID
	clock  siskin.Clock
	peers  siskin.Peers
	homes  *homes
	config config.View
	views  *shard.Map[siskin.ServiceName, *remoteView]
	// applyView receives a watcher's view of a group and the time at which it was
	// requested, or nil if no watcher answered.
	applyView func(service siskin.ServiceName, view *siskin.GroupView, askedAt time.Time)
	active    atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newRemoteViews(self siskin.VMID, clock siskin.Clock, peers siskin.Peers, homes *homes, cfg config.View) *remoteViews {
	r := &remoteViews{
		self:      self,
		clock:     clock,
		peers:     peers,
		homes:     homes,
		config:    cfg,
		views:     shard.New[siskin.ServiceName, *remoteView](),
		applyView: func(siskin.ServiceName, *siskin.GroupView, time.Time) {},
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// get returns the latest view of a service's group, the time at which it was
// requested, and a channel that is closed when it changes. It starts polling.
func (r *remoteViews) get(service siskin.ServiceName) (siskin.GroupView, time.Time, <-chan struct{}) {
	v := r.views.GetOrCreate(service, func() *remoteView { return newRemoteView() })
	v.lastUsed.Store(r.clock.Now().UnixNano())
	if v.polling.CompareAndSwap(false, true) {
		r.start(service, v)
	}
	return v.get()
}

func (r *remoteViews) start(service siskin.ServiceName, v *remoteView) {
	if r.ctx.Err() != nil {
		return
	}
	r.wg.Add(1)
	r.active.Add(1)
	go func() {
		defer r.wg.Done()
		defer r.active.Add(-1)
		r.follow(service, v)
	}()
}

// follow polls for the view until the service is no longer in use.
func (r *remoteViews) follow(service siskin.ServiceName, v *remoteView) {
	defer v.polling.Store(false)
	for r.ctx.Err() == nil {
		r.fetch(service, v)
		if r.clock.Since(time.Unix(0, v.lastUsed.Load())) > viewIdleTimeout {
			return
		}
		select {
		case <-r.clock.After(r.interval(v)):
		case <-r.ctx.Done():
		}
	}
}

func (r *remoteViews) interval(v *remoteView) time.Duration {
	if !v.hasWritablePrimary() {
		return noPrimaryInterval
	}
	slowest := time.Duration(r.active.Load()) * time.Second / viewsPerSecond
	return max(viewInterval, slowest)
}

// fetch requests the view from a watcher of the group. It picks one at random
// each time, so that the outdated view of one watcher is soon replaced. If no
// watcher answers, it asks the other homes.
func (r *remoteViews) fetch(service siskin.ServiceName, v *remoteView) {
	s, ok := r.config.Service(service)
	if !ok {
		return
	}
	vms := slices.Clone(r.homes.rankedHomes(s))
	n := min(len(vms), watcherCount)
	rand.Shuffle(n, func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	rand.Shuffle(len(vms)-n, func(i, j int) { vms[n+i], vms[n+j] = vms[n+j], vms[n+i] })
	reportNoAnswer := func() { r.applyView(service, nil, time.Time{}) }
	for i, vm := range vms {
		if i == n {
			reportNoAnswer()
		}
		if vm.ID == r.self {
			continue
		}
		ctx, cancel := context.WithTimeout(r.ctx, viewTimeout)
		var reply ViewReply
		askedAt := r.clock.Now()
		err := r.peers.Call(ctx, vm.ID, "Group.View", service, &reply)
		cancel()
		if err == nil && reply.Watched {
			v.set(reply.View, askedAt)
			if i < n {
				r.applyView(service, &reply.View, askedAt)
			}
			return
		}
	}
	if len(vms) == n {
		reportNoAnswer()
	}
}

func (r *remoteViews) close() {
	r.cancel()
	r.wg.Wait()
}
