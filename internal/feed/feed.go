// Package feed keeps the fleet up to date with the platform's store: the
// operator's configuration, the targets and the VMs.
//
// The VMs share the reading. Each passes on with its pings what it knows and how
// old that is, and reads the store itself only when its knowledge is older than
// it should be. So the number of calls hardly grows with the fleet, and a watch
// that is cut or hears nothing delays no change.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
)

const (
	// configAge is the age at which a VM reads the configuration itself. With
	// stagger, a slow store and a ping on top, a change is in force everywhere
	// within the 3 s that the users ask for.
	configAge = time.Second
	// targetAge is the same for the list of targets. The users ask for 7 s.
	targetAge = 1500 * time.Millisecond
	// evacuationAge is the same for the list of evacuations, which is confirmed with
	// the list of targets while the store's version stays. With takeOver, stagger,
	// followerDelay and two pings it is in force everywhere within 4.5 s; the users
	// ask for 5 s.
	evacuationAge = 1800 * time.Millisecond
	// takeOver is added to the age for all VMs but the last reader, so that one
	// VM goes on reading and its result reaches the others before they read. A
	// ping takes up to 300 ms.
	takeOver = 450 * time.Millisecond
	// stagger spreads the reads of the others when the reader is gone.
	stagger = 700 * time.Millisecond
	// pollTick is the time between two looks at an age.
	pollTick = 100 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed call, and
	// followerPause that of VMs of a large fleet that leave reading to relays.
	firstPause    = 100 * time.Millisecond
	longestPause  = time.Second
	followerPause = 4 * time.Second
	// followerDelay is added to the age for these VMs. With configAge, takeOver
	// and stagger it stays below the 3 s for a configuration.
	followerDelay = 500 * time.Millisecond
	// followerTick bounds the time between two looks of such a VM.
	followerTick = 400 * time.Millisecond
	// startFromPeers is the time for which a starting VM that is no seed expects its
	// peers to pass on what they know.
	startFromPeers = time.Second
	// lonelyRead is the time between two reads of the VMs by one that has
	// contact to none.
	lonelyRead = time.Second
)

// VMKind is the kind of the objects by which VMs find each other.
const VMKind siskin.ObjectKind = "vms"

// Config holds what a Feed depends on.
type Config struct {
	Clock siskin.Clock
	Store siskin.Store
	Log   *log.Logger
	// ConfigKind, ConfigName and TargetKind name the platform's own objects.
	ConfigKind siskin.ObjectKind
	ConfigName string
	TargetKind siskin.ObjectKind
	// EvacuationKind names the objects that evacuate a data centre, empty where the
	// platform has none.
	EvacuationKind siskin.ObjectKind
	// DecodeTarget decodes the entry of a target.
	DecodeTarget func(siskin.StoreObject) (siskin.TargetInfo, error)
	// Apply puts an encoded configuration in force.
	Apply  func(encoded []byte, source string)
	Table  *table.Table
	Roster *roster.Roster
	Crew   *crew.Crew
	// SetHolders is called once with the VMs that share the customers' rates.
	SetHolders func([]siskin.VMID)
	// KnownHolders returns them once they are known, also from a peer.
	KnownHolders func() []siskin.VMID
}

// Feed reads the store. Close ends it.
type Feed struct {
	cfg  Config
	stop context.CancelFunc
	done sync.WaitGroup
	away awayState
	// read is the version of the store up to which this VM knows the
	// configuration. It belongs to the goroutine that reads it.
	read siskin.Version
}

// Start begins to read.
func Start(cfg Config) *Feed {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Feed{cfg: cfg, stop: cancel}
	f.done.Go(func() { f.poll(ctx, "configuration", configAge, cfg.Table.Confirmed, f.config) })
	f.done.Go(func() { f.poll(ctx, "targets", targetAge, f.listedAt, f.targets) })
	if cfg.EvacuationKind != "" {
		f.done.Go(func() { f.poll(ctx, "evacuations", evacuationAge, f.evacuatedAt, f.evacuations) })
	}
	f.done.Go(func() { f.register(ctx) })
	f.done.Go(func() { f.holders(ctx) })
	return f
}

// Close stops reading and waits.
func (f *Feed) Close() error {
	f.stop()
	f.done.Wait()
	return nil
}

func (f *Feed) listedAt() time.Time {
	_, at := f.cfg.Roster.Version()
	return at
}

// config asks for changes of the configuration, and reads all of it when it must:
// with many routes it is large, and a read each second filled the link of a VM.
func (f *Feed) config(ctx context.Context, asked time.Time) error {
	if f.read > 0 {
		l, err := f.cfg.Store.Changes(ctx, f.cfg.ConfigKind, f.read)
		if err == nil {
			for _, o := range l.Objects {
				if o.Name == f.cfg.ConfigName {
					f.cfg.Apply(o.Value, "store")
				}
			}
			f.read = l.Version
			f.cfg.Table.Confirm(asked)
			return nil
		}
		if siskin.KindOf(err) != siskin.Conflict {
			return err
		}
	}
	o, err := f.cfg.Store.Get(ctx, f.cfg.ConfigKind, f.cfg.ConfigName)
	if err != nil {
		return err
	}
	f.cfg.Apply(o.Value, "store")
	f.read = o.Version
	f.cfg.Table.Confirm(asked)
	return nil
}

func (f *Feed) targets(ctx context.Context, asked time.Time) error {
	l, err := f.cfg.Store.List(ctx, f.cfg.TargetKind)
	if err != nil {
		return err
	}
	list := make([]siskin.TargetInfo, 0, len(l.Objects))
	for _, o := range l.Objects {
		info, err := f.cfg.DecodeTarget(o)
		if err != nil {
			f.cfg.Log.Warn().Err(err).Msg("an entry names no target")
			continue
		}
		list = append(list, info)
	}
	f.cfg.Roster.Replace(list, l.Version, asked)
	if f.cfg.EvacuationKind == "" || f.cfg.Roster.ConfirmEvacuations(l.Version, asked) {
		return nil
	}
	// Something has changed in the store since the list of evacuations was read.
	return f.evacuations(ctx, f.cfg.Clock.Now())
}
