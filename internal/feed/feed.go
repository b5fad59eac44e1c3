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
	// configMaxAge is the age at which a VM reads the configuration itself. With
	// stagger, a slow store and a ping on top, a change is in force everywhere
	// within the 3 s that the users ask for.
	configMaxAge = time.Second
	// targetMaxAge is the same for the list of targets. The users ask for 7 s.
	targetMaxAge = 1500 * time.Millisecond
	// evacuationMaxAge is the same for the list of evacuations, which is confirmed with
	// the list of targets while the store's version stays. With takeOver, stagger,
	// followerDelay and two pings it is in force everywhere within 4.5 s; the users
	// ask for 5 s.
	evacuationMaxAge = 1800 * time.Millisecond
	// nonReaderDelay is added to the age for all VMs but the last reader, so that one
	// VM goes on reading and its result reaches the others before they read. A
	// ping takes up to 300 ms.
	nonReaderDelay = 450 * time.Millisecond
	// maxJitter spreads the reads of the others when the reader is gone.
	maxJitter = 700 * time.Millisecond
	// pollInterval is the time between two looks at an age.
	pollInterval = 100 * time.Millisecond
	// minBackoff and longestPause bound the pause after a failed call, and
	// followerPause that of VMs of a large fleet that leave reading to relays.
	minBackoff         = 100 * time.Millisecond
	maxBackoff         = time.Second
	followerMaxBackoff = 4 * time.Second
	// followerDelay is added to the age for these VMs. With configAge, takeOver
	// and stagger it stays below the 3 s for a configuration.
	followerDelay = 500 * time.Millisecond
	// maxFollowerPollInterval bounds the time between two looks of such a VM.
	maxFollowerPollInterval = 400 * time.Millisecond
	// peerWait is the time for which a starting VM that is no seed expects its
	// peers to pass on what they know.
	peerWait = time.Second
	// aloneReadInterval is the time between two reads of the VMs by one that has
	// contact to none.
	aloneReadInterval = time.Second
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
	// ParseTarget decodes the entry of a target.
	ParseTarget func(siskin.StoreObject) (siskin.TargetInfo, error)
	// Apply puts an encoded configuration in force.
	Apply  func(encoded []byte, source string)
	Table  *table.Table
	Roster *roster.Roster
	Crew   *crew.Crew
	// OnHolders is called once with the VMs that share the customers' rates.
	OnHolders func([]siskin.VMID)
	// KnownHolders returns them once they are known, also from a peer.
	KnownHolders func() []siskin.VMID
}

// Feed reads the store. Close ends it.
type Feed struct {
	cfg    Config
	stop   context.CancelFunc
	done   sync.WaitGroup
	outage outageState
	// configVersion is the version of the store up to which this VM knows the
	// configuration. It belongs to the goroutine that reads it.
	configVersion siskin.Version
}

// Start begins to read.
func Start(cfg Config) *Feed {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Feed{cfg: cfg, stop: cancel}
	f.done.Go(func() { f.poll(ctx, "configuration", configMaxAge, cfg.Table.Confirmed, f.readConfig) })
	f.done.Go(func() { f.poll(ctx, "targets", targetMaxAge, f.targetsConfirmedAt, f.readTargets) })
	if cfg.EvacuationKind != "" {
		f.done.Go(func() { f.poll(ctx, "evacuations", evacuationMaxAge, f.evacuationsConfirmedAt, f.readEvacuations) })
	}
	f.done.Go(func() { f.register(ctx) })
	f.done.Go(func() { f.loadHolders(ctx) })
	return f
}

// Close stops reading and waits.
func (f *Feed) Close() error {
	f.stop()
	f.done.Wait()
	return nil
}

func (f *Feed) targetsConfirmedAt() time.Time {
	_, at := f.cfg.Roster.Version()
	return at
}

// readConfig asks for changes of the configuration, and reads all of it when it must:
// with many routes it is large, and a read each second filled the link of a VM.
func (f *Feed) readConfig(ctx context.Context, asked time.Time) error {
	if f.configVersion > 0 {
		l, err := f.cfg.Store.Changes(ctx, f.cfg.ConfigKind, f.configVersion)
		if err == nil {
			for _, o := range l.Objects {
				if o.Name == f.cfg.ConfigName {
					f.cfg.Apply(o.Value, "store")
				}
			}
			f.configVersion = l.Version
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
	f.configVersion = o.Version
	f.cfg.Table.Confirm(asked)
	return nil
}

func (f *Feed) readTargets(ctx context.Context, asked time.Time) error {
	l, err := f.cfg.Store.List(ctx, f.cfg.TargetKind)
	if err != nil {
		return err
	}
	list := make([]siskin.TargetInfo, 0, len(l.Objects))
	for _, o := range l.Objects {
		info, err := f.cfg.ParseTarget(o)
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
	return f.readEvacuations(ctx, f.cfg.Clock.Now())
}
