package group

import (
	"context"
	"sync"

	"siskintray.example/siskin"
)

// floor coalesces concurrent calls of Floor. A call waits for the first sample
// that starts after it; one sample runs at a time.
type floor struct {
	mu      sync.Mutex
	running bool
	next    *floorSample // not started; nil if no caller waits
}

// floorSample is one sample. pos and err are set before done is closed.
type floorSample struct {
	done chan struct{}
	pos  siskin.Position
	err  error
}

// Floor implements siskin.Group. While too few targets answer, it retries until
// the context ends.
func (g *Group) Floor(ctx context.Context) (siskin.Position, error) {
	for {
		s := g.joinFloor()
		select {
		case <-s.done:
			if s.err == nil {
				return s.pos, nil
			}
		case <-ctx.Done():
			return siskin.Position{}, errFloor(g.settings.Service, 0, g.settings.quorum(), ctx.Err())
		case <-g.ctx.Done():
			return siskin.Position{}, errClosed()
		}
		select {
		case <-g.clock.After(g.settings.Interval / 4):
		case <-ctx.Done():
			return siskin.Position{}, s.err
		case <-g.ctx.Done():
			return siskin.Position{}, errClosed()
		}
	}
}

func (g *Group) joinFloor() *floorSample {
	f := &g.floor
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == nil {
		f.next = &floorSample{done: make(chan struct{})}
		if !f.running {
			f.running = g.start(g.runFloor)
		}
	}
	return f.next
}

// runFloor takes samples while callers wait.
func (g *Group) runFloor() {
	f := &g.floor
	for {
		f.mu.Lock()
		s := f.next
		f.next = nil
		f.running = s != nil
		f.mu.Unlock()
		if s == nil {
			return
		}
		s.pos, s.err = g.sampleFloor()
		close(s.done)
	}
}

// sampleFloor returns the newest log end of the first N - k targets to answer,
// where N is the number of targets and k is AckReplicas. An acknowledged write
// is on k + 1 targets, so at least one of those that answered has it.
func (g *Group) sampleFloor() (siskin.Position, error) {
	type answer struct {
		pos siskin.Position
		err error
	}
	answers := make(chan answer, len(g.peers))
	for _, p := range g.peers {
		started := g.start(func() {
			var st siskin.TargetStatus
			err := p.floorConn.tryCall(g.settings.callTimeout(), func(ctx context.Context, t siskin.Target) (err error) {
				st, err = t.Status(ctx)
				return err
			})
			answers <- answer{logEnd(st), err}
		})
		if !started {
			answers <- answer{err: errClosed()}
		}
	}
	var top siskin.Position
	var failure error
	n := 0
	for range g.peers {
		a := <-answers
		if a.err != nil {
			failure = a.err
			continue
		}
		n++
		if a.pos.Compare(top) > 0 {
			top = a.pos
		}
		if n == g.settings.quorum() {
			return top, nil
		}
	}
	return siskin.Position{}, errFloor(g.settings.Service, n, g.settings.quorum(), failure)
}
