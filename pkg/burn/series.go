package burn

import (
	"sync"
	"time"
)

// Lengths of windows and buckets. Windows up to an hour use fine buckets, longer
// windows use coarse buckets, so that one series of 3 days takes about 115 KB.
const (
	fineWidth     = 10 * time.Second
	coarseWidth   = 5 * time.Minute
	maxFineWindow = time.Hour
	longestWindow = 72 * time.Hour
)

// Windows are the lengths of the windows of a record, in ascending order.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, longestWindow}

// maxGaps is the largest number of write gaps stored for one service.
const maxGaps = 100

// series holds the counts of one service or customer. Each has a lock of its own.
type series struct {
	mu     sync.Mutex
	fine   ring[bucket]
	coarse ring[bucket]
	gaps   []Gap
}

func newSeries() *series {
	return &series{
		fine:   newRing[bucket](fineWidth, int(maxFineWindow/fineWidth)),
		coarse: newRing[bucket](coarseWidth, int(longestWindow/coarseWidth)),
	}
}

func (s *series) record(now time.Time, res *Result, slow bool) {
	s.mu.Lock()
	s.fine.at(now).record(res, slow)
	s.coarse.at(now).record(res, slow)
	s.mu.Unlock()
}

func (s *series) addGap(g Gap) {
	s.mu.Lock()
	if len(s.gaps) == maxGaps {
		s.gaps = append(s.gaps[:0], s.gaps[1:]...)
	}
	s.gaps = append(s.gaps, g)
	s.mu.Unlock()
}

// extendGap increases the duration of the last gap to at least d.
func (s *series) extendGap(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.gaps); n > 0 && s.gaps[n-1].Duration < d {
		s.gaps[n-1].Duration = d
	}
}

// snapshot returns the counts of all windows and the points of the plots.
func (s *series) snapshot(now time.Time) SeriesRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := SeriesRecord{Windows: make([]Counts, len(Windows))}
	for i, w := range Windows {
		r.Windows[i] = s.window(now, w)
	}
	r.Hour = points(&s.fine, now, maxFineWindow, time.Minute)
	r.Days = points(&s.coarse, now, longestWindow, time.Hour)
	for _, g := range s.gaps {
		if now.Sub(g.At) < longestWindow {
			r.Gaps = append(r.Gaps, g)
		}
	}
	return r
}

func (s *series) window(now time.Time, w time.Duration) Counts {
	var c Counts
	add := func(_ time.Time, b *bucket) { b.addTo(&c) }
	if w <= maxFineWindow {
		s.fine.each(now, w, add)
	} else {
		s.coarse.each(now, w, add)
	}
	return c
}

// points sums buckets into steps that are aligned to the clock, so that the
// points of several VMs can be added.
func points(r *ring[bucket], now time.Time, window, step time.Duration) []Point {
	var all []Point
	r.each(now, window, func(start time.Time, b *bucket) {
		var c Counts
		b.addTo(&c)
		at := start.Truncate(step).UTC()
		if len(all) == 0 || !all[len(all)-1].At.Equal(at) {
			all = append(all, Point{At: at})
		}
		p := &all[len(all)-1]
		p.Total += c.Total()
		p.Bad += c.Bad()
		p.Slow += c.Slow
	})
	return all
}
