package feed

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
)

// sizesKind and sizesName name the record of the sizes of all groups. A fleet
// that starts as a whole while targets are missing needs it, since service
// discovery lists only those that run.
const (
	sizesKind = siskin.ObjectKind("groups")
	sizesName = "sizes"
)

const (
	// sizesPeerWait is how long a VM that is no seed waits for its peers to
	// send the sizes before it reads the record. In a large fleet they come by
	// way of relays.
	sizesPeerWait = rightsPeerWait
	// sizesInterval is the time between two checks whether the record has to
	// be written.
	sizesInterval = time.Second
)

// sizesRecord is the value of the record.
type sizesRecord struct{ Sizes map[siskin.ServiceName]int }

// recordedSizes is what a VM knows of the record.
type recordedSizes struct {
	sizes   map[siskin.ServiceName]int
	version siskin.Version // of the record; zero if there is none
	era     siskin.Era     // of the store when it was read or written
	known   bool
}

// keepSizes learns the sizes of the groups when this VM starts, and keeps the
// record up to date while it is the live VM with the smallest ID.
func (f *Feed) keepSizes(ctx context.Context) {
	start := f.cfg.Clock.Now()
	backoff := minBackoff
	var recorded recordedSizes
	for ctx.Err() == nil {
		var err error
		live := f.cfg.Crew.Live()
		switch known := f.cfg.Roster.SizesKnown(); {
		case !known && !f.cfg.Crew.IsSeed() && f.cfg.Clock.Since(start) < sizesPeerWait:
			sleep(ctx, pollInterval)
			continue
		case !known:
			recorded, err = f.readSizes(ctx)
			if err == nil {
				f.cfg.Roster.LearnSizesOfAll(recorded.sizes, f.cfg.Clock.Now())
			}
		case len(live) > 0 && live[0].ID == f.cfg.Crew.Self().ID:
			recorded, err = f.writeSizes(ctx, recorded)
		}
		if err == nil {
			backoff = minBackoff
			sleep(ctx, sizesInterval)
			continue
		}
		if ctx.Err() == nil {
			f.recordFailure("sizes of groups", err)
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// readSizes reads the record. A fleet that starts for the first time has none.
func (f *Feed) readSizes(ctx context.Context) (recordedSizes, error) {
	era := f.storeEra()
	o, err := f.cfg.Store.Get(ctx, sizesKind, sizesName)
	switch {
	case siskin.KindOf(err) == siskin.Conflict:
		return recordedSizes{era: era, known: true}, nil
	case err != nil:
		return recordedSizes{}, err
	}
	var r sizesRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		// It is written again from the lists of targets.
		f.cfg.Log.Error().Err(err).Msg("cannot decode the record of the sizes of groups")
	}
	return recordedSizes{sizes: r.Sizes, version: o.Version, era: max(era, o.Version.Era()), known: true}, nil
}

// writeSizes writes the record if the settled sizes differ from it, or the store
// may have lost it in a new era, and returns what is recorded afterwards.
func (f *Feed) writeSizes(ctx context.Context, recorded recordedSizes) (recordedSizes, error) {
	settled := f.cfg.Roster.SettledSizes(f.cfg.Clock.Now())
	if len(settled) == 0 || recorded.known && recorded.era >= f.storeEra() && maps.Equal(f.nextSizes(settled, recorded.sizes), recorded.sizes) {
		return recorded, nil
	}
	recorded, err := f.readSizes(ctx)
	if err != nil {
		return recorded, err
	}
	next := f.nextSizes(settled, recorded.sizes)
	if maps.Equal(next, recorded.sizes) {
		return recorded, nil
	}
	var version siskin.Version
	if recorded.version == 0 {
		version, err = f.cfg.Store.Create(ctx, sizesKind, sizesName, sizesRecord{next})
	} else {
		version, err = f.cfg.Store.Update(ctx, sizesKind, sizesName, sizesRecord{next}, recorded.version)
	}
	if err != nil {
		return recordedSizes{}, err // another VM may have written it, or the answer was lost
	}
	f.cfg.Log.Info().Int("Groups", len(next)).Uint64("Version", uint64(version)).Msg("recorded the sizes of groups")
	return recordedSizes{sizes: next, version: version, era: version.Era(), known: true}, nil
}

// nextSizes returns the sizes to record for the configured services: the settled
// ones, and as recorded those that have not been listed for long enough.
func (f *Feed) nextSizes(settled, recorded map[siskin.ServiceName]int) map[siskin.ServiceName]int {
	next := make(map[siskin.ServiceName]int)
	for _, s := range f.cfg.Table.Snapshot().Services {
		if n := cmp.Or(settled[s.Name], recorded[s.Name]); n > 0 {
			next[s.Name] = n
		}
	}
	return next
}
