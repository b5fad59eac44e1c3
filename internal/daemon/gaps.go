package daemon

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/front"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/shard"
)

// writeGaps detects write gaps of services from the transactions of this VM's
// callers. A write gap is the time from the last acknowledged write before an
// interruption to the first one after it. A failed write or a change of term
// indicates an interruption.
type writeGaps struct {
	clock    siskin.Clock
	recorder gapRecorder
	services *shard.Map[siskin.ServiceName, *serviceWrites]
}

// gapRecorder records write gaps. It is implemented by burn.Recorder.
type gapRecorder interface {
	WriteGap(service siskin.ServiceName, gap time.Duration)
	ExtendGap(service siskin.ServiceName, gap time.Duration)
}

func newWriteGaps(clock siskin.Clock, recorder gapRecorder) *writeGaps {
	return &writeGaps{clock: clock, recorder: recorder, services: shard.New[siskin.ServiceName, *serviceWrites]()}
}

// observe records a transaction that has just ended.
func (g *writeGaps) observe(o *front.Observation) {
	if o.Mode != config.WriteRoute || !o.Failed && o.Term == 0 {
		return
	}
	s := g.services.GetOrCreate(o.Service, func() *serviceWrites { return new(serviceWrites) })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := g.clock.Now() // while mu is held, so that times are in order
	began := now.Add(-o.Latency)
	if o.Failed {
		s.noteFailure(o.Kind, began)
		return
	}
	if gap, ok := s.noteAck(now, began, o.Term); ok {
		g.recorder.WriteGap(o.Service, gap)
	} else if gap, ok := s.extendGap(now, began); ok {
		g.recorder.ExtendGap(o.Service, gap)
	}
}
