package pool

// Stats counts the connections of one slot.
type Stats struct {
	Open, Opening, Idle, Busy, Waiting int
	Limit                              int
	Opened, FailedOpens, Silent        int64
}

// Stats returns the counts of each slot.
func (p *Pool) Stats() map[Key]Stats {
	all := make(map[Key]Stats)
	p.slots.Range(func(key Key, s *slot) bool {
		all[key] = s.snapshot()
		return true
	})
	return all
}

func (s *slot) snapshot() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{
		Open: len(s.conns), Opening: s.opening[Full] + s.opening[ReadOnly],
		Idle: len(s.idle[Full]) + len(s.idle[ReadOnly]), Waiting: len(s.waiters), Limit: s.cfg.Limit,
		Opened: s.stats.opened, FailedOpens: s.stats.failed, Silent: s.stats.silent,
		Busy: s.busy[Full] + s.busy[ReadOnly],
	}
	return st
}
