package burn

import "siskintray.example/siskin"

// kindCount is the number of error kinds.
const kindCount = int(siskin.TargetRefused) + 1

// Counts holds the numbers of transactions in one window.
type Counts struct {
	Done       int64            // ended without an error
	ByKind     map[string]int64 `json:",omitempty"` // ended with an error, by kind
	WithinRate int64            // of kind RateExceeded: although within the customer's rate
	Slow       int64            // of Done: above the latency threshold
	Reads      int64            // of Done: on read routes
	ByReplica  int64            // of Reads: served by a replica
}

// Bad returns the number of transactions that count against availability.
func (c *Counts) Bad() int64 {
	n := c.WithinRate
	for k := range kindCount {
		if kind := siskin.ErrorKind(k); classOf(kind) == bad {
			n += c.ByKind[kind.String()]
		}
	}
	return n
}

// Total returns the number of transactions that count for or against
// availability.
func (c *Counts) Total() int64 {
	return c.Done + c.ByKind[siskin.TargetRefused.String()] + c.Bad()
}

func (c *Counts) Add(other Counts) {
	c.Done += other.Done
	c.WithinRate += other.WithinRate
	c.Slow += other.Slow
	c.Reads += other.Reads
	c.ByReplica += other.ByReplica
	for kind, n := range other.ByKind {
		if c.ByKind == nil {
			c.ByKind = map[string]int64{}
		}
		c.ByKind[kind] += n
	}
}

// bucket counts the transactions of one time bucket.
type bucket struct {
	done, slow, reads, byReplica, withinRate uint32
	kinds                                    [kindCount]uint32
}

func (b *bucket) record(res *Result, slow bool) {
	if res.Failed {
		b.kinds[knownKind(res.Kind)]++
		if res.Kind == siskin.RateExceeded && res.WithinRate {
			b.withinRate++
		}
		return
	}
	b.done++
	if slow {
		b.slow++
	}
	if res.Read {
		b.reads++
		if res.ByReplica {
			b.byReplica++
		}
	}
}

// knownKind returns k, or Internal if k is not a known kind.
func knownKind(k siskin.ErrorKind) siskin.ErrorKind {
	if k < 0 || int(k) >= kindCount {
		return siskin.Internal
	}
	return k
}

// addTo adds the counts of the bucket to c.
func (b *bucket) addTo(c *Counts) {
	c.Done += int64(b.done)
	c.Slow += int64(b.slow)
	c.Reads += int64(b.reads)
	c.ByReplica += int64(b.byReplica)
	c.WithinRate += int64(b.withinRate)
	for k, n := range b.kinds {
		if n > 0 {
			if c.ByKind == nil {
				c.ByKind = map[string]int64{}
			}
			c.ByKind[siskin.ErrorKind(k).String()] += int64(n)
		}
	}
}
