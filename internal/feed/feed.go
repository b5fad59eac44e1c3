// Package feed keeps the fleet up to date with the platform's store: the
// operator's configuration, the targets and the VMs.
//
// The VMs share the reads. Each VM passes its data and its age on with its
// pings, and reads the store itself only when its own data is older than
// allowed. So the number of calls to the store hardly grows with the fleet.
// Since the store is polled, a watch that is disconnected or delivers nothing
// cannot delay a change.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/quota"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
)

const (
	// configMaxAge is the age at which a VM reads the configuration itself.
	// Together with maxJitter, a slow store and a ping, a change is applied
	// everywhere within the 3 s that the users require.
	configMaxAge = time.Second
	// targetMaxAge is the same for the list of targets. The users require 7 s.
	targetMaxAge = 1500 * time.Millisecond
	// evacuationMaxAge is the same for the list of evacuations, which is
	// confirmed with the list of targets as long as the version of the store
	// is unchanged. Together with nonReaderDelay, maxJitter, followerDelay and
	// two pings, it is applied everywhere within 4.5 s; the users require 5 s.
	evacuationMaxAge = 1800 * time.Millisecond
	// nonReaderDelay is added to the age for all VMs but the last reader, so
	// that one VM remains the reader and its result reaches the others before
	// they read. A ping takes up to 300 ms.
	nonReaderDelay = 450 * time.Millisecond
	// maxJitter spreads the reads of the other VMs when the reader has failed.
	maxJitter = 700 * time.Millisecond
	// pollInterval is the time between two checks of an age.
	pollInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call, and
	// followerMaxBackoff that of VMs of a large fleet that leave reading to
	// relays.
	minBackoff         = 100 * time.Millisecond
	maxBackoff         = time.Second
	followerMaxBackoff = 4 * time.Second
	// followerDelay is added to the age for these VMs. Together with
	// configMaxAge, nonReaderDelay and maxJitter it stays below the 3 s for a
	// configuration.
	followerDelay = 500 * time.Millisecond
	// maxFollowerPollInterval bounds the time between two checks of such a VM.
	maxFollowerPollInterval = 400 * time.Millisecond
	// peerWait is how long a starting VM that is no seed waits for data from
	// its peers before it reads the store.
	peerWait = time.Second
	// restoredPeerWait is how long a starting seed waits for the configuration of
	// its peers once the store has returned from an older copy. New sessions wait
	// somewhat longer for a configuration.
	restoredPeerWait = 500 * time.Millisecond
	// aloneReadInterval is the time between two reads of the list of VMs by a
	// VM that has no contact with any other.
	aloneReadInterval = time.Second
)

// VMKind is the kind of the store objects by which VMs discover each other.
const VMKind siskin.ObjectKind = "vms"

// Config holds the dependencies of a Feed.
type Config struct {
	Clock siskin.Clock
	Store siskin.Store
	Log   *log.Logger
	// ConfigKind, ConfigName and TargetKind identify the objects of the
	// platform.
	ConfigKind siskin.ObjectKind
	ConfigName string
	TargetKind siskin.ObjectKind
	// EvacuationKind is the kind of the objects that evacuate a data centre,
	// empty if the platform has none.
	EvacuationKind siskin.ObjectKind
	// ParseTarget decodes the store object of a target.
	ParseTarget func(siskin.StoreObject) (siskin.TargetInfo, error)
	// Apply applies an encoded configuration.
	Apply  func(encoded []byte, source string)
	Table  *table.Table
	Roster *roster.Roster
	Crew   *crew.Crew
	// Rights knows which VMs share the customers' rates.
	Rights *quota.Limiter
}

// Feed polls the store until Close is called.
type Feed struct {
	cfg    Config
	stop   context.CancelFunc
	done   sync.WaitGroup
	outage outageState
	// configVersion is the store version up to which this VM has read the
	// configuration. Only the goroutine that reads it uses this field.
	configVersion siskin.Version
	// ignoredLists counts the lists of targets in a row that were older than the
	// current one. Only the goroutine that reads them uses this field.
	ignoredLists int
	// skipped has the versions of the listed objects that are no targets, so
	// that each one is logged once. Only the goroutine that reads them uses it.
	skipped map[string]siskin.Version
}

// Start begins to poll the store.
func Start(cfg Config) *Feed {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Feed{cfg: cfg, stop: cancel}
	f.done.Go(func() { f.poll(ctx, "configuration", configMaxAge, cfg.Table.Confirmed, f.readConfig) })
	f.done.Go(func() { f.poll(ctx, "targets", targetMaxAge, f.targetsConfirmedAt, f.readTargets) })
	if cfg.EvacuationKind != "" {
		f.done.Go(func() { f.poll(ctx, "evacuations", evacuationMaxAge, f.evacuationsConfirmedAt, f.readEvacuations) })
	}
	f.done.Go(func() { f.register(ctx) })
	f.done.Go(func() { f.keepRights(ctx) })
	f.done.Go(func() { f.keepSizes(ctx) })
	return f
}

// Close stops polling and waits for the goroutines to end.
func (f *Feed) Close() error {
	f.stop()
	f.done.Wait()
	return nil
}

func (f *Feed) targetsConfirmedAt() time.Time {
	_, at := f.cfg.Roster.Version()
	return at
}

// readConfig reads the changes of the configuration, or all of it if it has no
// earlier version or the store no longer has the changes. With many routes the
// configuration is large, and a full read every second filled the link of a
// VM.
func (f *Feed) readConfig(ctx context.Context, startedAt time.Time) error {
	if f.configVersion > 0 {
		l, err := f.cfg.Store.Changes(ctx, f.cfg.ConfigKind, f.configVersion)
		if err == nil {
			for _, o := range l.Objects {
				if o.Name == f.cfg.ConfigName {
					f.cfg.Apply(o.Value, "store")
				}
			}
			f.configVersion = l.Version
			f.cfg.Table.Confirm(startedAt)
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
	// The copy from which a store has returned may hold an older configuration
	// than the fleet has in force. VMs that are no seeds have waited already.
	if o.Version.Era() > siskin.FirstEra && f.cfg.Crew.IsSeed() && f.cfg.Table.Snapshot().Version == 0 {
		f.awaitData(ctx, restoredPeerWait, func() bool { return f.cfg.Table.Snapshot().Version > 0 })
	}
	f.cfg.Log.Info().Uint64("Before", uint64(f.configVersion)).Uint64("Version", uint64(o.Version)).Msg("read the whole configuration")
	f.cfg.Apply(o.Value, "store")
	f.configVersion = o.Version
	f.cfg.Table.Confirm(startedAt)
	return nil
}

func (f *Feed) readTargets(ctx context.Context, startedAt time.Time) error {
	l, err := f.cfg.Store.List(ctx, f.cfg.TargetKind)
	if err != nil {
		return err
	}
	list := make([]siskin.TargetInfo, 0, len(l.Objects))
	skipped := make(map[string]siskin.Version)
	for _, o := range l.Objects {
		info, err := f.cfg.ParseTarget(o)
		if err != nil {
			if f.skipped[o.Name] != o.Version {
				f.cfg.Log.Warn().Err(err).Msg("skipping a store object that cannot be decoded as a target")
			}
			skipped[o.Name] = o.Version
			continue
		}
		list = append(list, info)
	}
	f.skipped = skipped
	f.recordTargets(f.cfg.Roster.Replace(list, l.Version, startedAt), l.Version)
	if f.cfg.EvacuationKind == "" || f.cfg.Roster.ConfirmEvacuations(l.Version, startedAt) {
		return nil
	}
	// The store has changed since the list of evacuations was read.
	return f.readEvacuations(ctx, f.cfg.Clock.Now())
}

// recordTargets logs the first of several lists of targets that are older than
// the current one, and their number once a list is applied again.
func (f *Feed) recordTargets(applied bool, version siskin.Version) {
	if !applied {
		f.ignoredLists++
		if f.ignoredLists == 1 {
			current, at := f.cfg.Roster.Version()
			f.cfg.Log.Warn().Uint64("Version", uint64(version)).Uint64("Current", uint64(current)).Dur("Age", f.cfg.Clock.Since(at)).
				Msg("ignored a list of targets that is older than the current one")
		}
		return
	}
	if f.ignoredLists > 0 {
		f.cfg.Log.Warn().Uint64("Version", uint64(version)).Int("Ignored", f.ignoredLists).Msg("applied a list of targets after ignoring older ones")
		f.ignoredLists = 0
	}
}
