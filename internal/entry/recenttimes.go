package entry

import "time"

// recentTimes holds the last times that statements took.
type recentTimes struct {
	took [keptTimes]time.Duration
	at   [keptTimes]time.Time
	n    int
}

func (r *recentTimes) add(took time.Duration, now time.Time) {
	i := r.n % keptTimes
	r.took[i], r.at[i] = took, now
	r.n++
}

// latest returns when the last time was added.
func (r *recentTimes) latest() time.Time { return r.at[(r.n-1)%keptTimes] }

// figures returns the least and the mean time within timesWindow, or zeros when
// there are fewer than minTimes.
func (r *recentTimes) figures(now time.Time) (fastest, mean time.Duration) {
	count := 0
	var sum time.Duration
	for i := range min(r.n, keptTimes) {
		if now.Sub(r.at[i]) >= timesWindow {
			continue
		}
		if took := r.took[i]; count == 0 || took < fastest {
			fastest = took
		}
		sum += r.took[i]
		count++
	}
	if count < minTimes {
		return 0, 0
	}
	return fastest, sum / time.Duration(count)
}
