// Package feed keeps a VM up to date with the platform's store: the operator's
// configuration, the targets and the VMs.
package feed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/roster"
)

const (
	// watchWait is the time that a watch waits for a change. Longer waits cost
	// fewer calls; keep-alive probes find a silent connection before.
	watchWait = 20 * time.Second
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
)

// Config holds what a Feed depends on.
type Config struct {
	Clock siskin.Clock
	Store siskin.Store
	Log   *log.Logger
	// ConfigKind, ConfigName and TargetKind name the platform's own objects.
	ConfigKind siskin.ObjectKind
	ConfigName string
	TargetKind siskin.ObjectKind
	// Target decodes the entry of a target.
	Target func(siskin.StoreObject) (siskin.TargetInfo, error)
	// Apply puts an encoded configuration in force.
	Apply  func(encoded []byte, source string)
	Roster *roster.Roster
	Crew   *crew.Crew
	// Holders is called once with the VMs that share the customers' rates.
	Holders func([]siskin.VMID)
	// Hint is called when discovery begins to report a target as primary.
	Hint func(siskin.TargetInfo)
}

// VMKind is the kind of the objects by which VMs find each other.
const VMKind siskin.ObjectKind = "vms"

// Feed watches the store. Close ends it.
type Feed struct {
	cfg  Config
	stop context.CancelFunc
	done sync.WaitGroup
	away awayState
}

// awayState tells one loss of the store from many failed calls.
type awayState struct {
	mu    sync.Mutex
	since time.Time // zero while the store answers
}

// Start begins to watch.
func Start(cfg Config) *Feed {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Feed{cfg: cfg, stop: cancel}
	f.done.Go(func() { f.follow(ctx, cfg.ConfigKind, f.config) })
	f.done.Go(func() { f.follow(ctx, cfg.TargetKind, f.targets) })
	f.done.Go(func() { f.follow(ctx, VMKind, f.vms) })
	f.done.Go(func() { f.register(ctx) })
	f.done.Go(func() { f.holders(ctx) })
	return f
}

// Close stops watching and waits.
func (f *Feed) Close() error {
	f.stop()
	f.done.Wait()
	return nil
}

// apply takes over a complete list (full) or changes, asked for at a time.
type apply func(l *siskin.Listing, full bool, asked time.Time)

// follow lists a kind and then watches it until ctx ends.
func (f *Feed) follow(ctx context.Context, kind siskin.ObjectKind, apply apply) {
	var version siskin.Version
	pause := firstPause
	for ctx.Err() == nil {
		asked := f.cfg.Clock.Now()
		full := version == 0
		var l siskin.Listing
		var err error
		if full {
			l, err = f.cfg.Store.List(ctx, kind)
		} else {
			l, err = f.cfg.Store.Watch(ctx, kind, version, watchWait)
		}
		switch {
		case err == nil:
			f.answered()
			pause = firstPause
			version = l.Version
			apply(&l, full, asked)
		case siskin.KindOf(err) == siskin.Conflict:
			f.cfg.Log.Info().Str("Kind", string(kind)).Uint64("Version", uint64(version)).Msg("the store's history is gone, listing again")
			version = 0
		case ctx.Err() == nil:
			f.failed(kind, err)
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, longestPause)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *Feed) failed(kind siskin.ObjectKind, err error) {
	f.away.mu.Lock()
	defer f.away.mu.Unlock()
	if f.away.since.IsZero() {
		f.away.since = f.cfg.Clock.Now()
		f.cfg.Log.Warn().Err(err).Str("Kind", string(kind)).Msg("lost the store")
	}
}

func (f *Feed) answered() {
	f.away.mu.Lock()
	defer f.away.mu.Unlock()
	now := f.cfg.Clock.Now()
	back := !f.away.since.IsZero()
	if back {
		f.cfg.Log.Info().Dur("Away", now.Sub(f.away.since)).Msg("the store is back")
		f.away.since = time.Time{}
	}
	f.cfg.Roster.Touch(now, back)
}

func (f *Feed) config(l *siskin.Listing, _ bool, _ time.Time) {
	for _, o := range l.Objects {
		if o.Name == f.cfg.ConfigName && !o.Removed {
			f.cfg.Apply(o.Value, "store")
		}
	}
}

func (f *Feed) targets(l *siskin.Listing, full bool, asked time.Time) {
	var list []siskin.TargetInfo
	for _, o := range l.Objects {
		if o.Removed {
			f.cfg.Log.Info().Str("Target", o.Name).Msg("a target's entry was removed")
			f.cfg.Roster.Remove(siskin.TargetID(o.Name))
			continue
		}
		info, err := f.cfg.Target(o)
		if err != nil {
			f.cfg.Log.Warn().Err(err).Msg("an entry names no target")
			continue
		}
		f.note(info)
		if list = append(list, info); !full {
			f.cfg.Roster.Put(info)
		}
	}
	if full {
		f.cfg.Roster.Replace(list, asked)
	}
}

// note logs what changed at a target and passes a new primary on as a hint.
func (f *Feed) note(info siskin.TargetInfo) {
	old, known := f.cfg.Roster.Target(info.ID)
	if known && old.Primary == info.Primary && old.Draining == info.Draining && old.Born.Equal(info.Born) && old.Address == info.Address {
		return
	}
	f.cfg.Log.Info().Str("Target", string(info.ID)).Str("Service", string(info.Service)).Str("Address", info.Address).
		Bool("Primary", info.Primary).Bool("Draining", info.Draining).Time("Born", info.Born).Msg("a target's entry changed")
	if info.Primary && (!known || !old.Primary || !old.Born.Equal(info.Born)) {
		f.cfg.Hint(info)
	}
}

func (f *Feed) vms(l *siskin.Listing, _ bool, _ time.Time) {
	for _, o := range l.Objects {
		var n crew.Node
		if err := json.Unmarshal(o.Value, &n); err != nil {
			f.cfg.Log.Warn().Err(err).Str("Name", o.Name).Msg("an entry names no VM")
			continue
		}
		if !o.Removed {
			f.cfg.Crew.Learn(n)
		}
	}
}

// register publishes this VM until the store has it.
func (f *Feed) register(ctx context.Context) {
	self := f.cfg.Crew.Nodes()[0]
	pause := firstPause
	for ctx.Err() == nil {
		_, err := f.cfg.Store.Create(ctx, VMKind, string(self.ID), self)
		if siskin.KindOf(err) == siskin.Conflict {
			err = f.replace(ctx, self)
		}
		if err == nil {
			return
		}
		f.failed(VMKind, err)
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, longestPause)
	}
}

// replace replaces the object of an earlier run of this VM.
func (f *Feed) replace(ctx context.Context, self crew.Node) error {
	l, err := f.cfg.Store.List(ctx, VMKind)
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		if o.Name == string(self.ID) {
			_, err = f.cfg.Store.Update(ctx, VMKind, o.Name, self, o.Version)
		}
	}
	return err
}
