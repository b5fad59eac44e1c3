package node

import (
	"context"
	"sync"

	"siskintray.example/siskin"
)

// fakePlatform stores objects with conditional updates and counts the calls.
type fakePlatform struct {
	siskin.Platform // calls that records do not make

	mu          sync.Mutex
	objects     map[siskin.ObjectName]siskin.Object
	down        bool
	loseAnswers int // answers of updates that are lost after they took effect
	calls       int
	writes      int
	beforePut   func() // runs between a read and the update that follows
}

func (p *fakePlatform) Get(_ context.Context, name siskin.ObjectName) (siskin.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down {
		return siskin.Object{}, siskin.NewError(siskin.Unavailable, "the platform is down")
	}
	return p.objects[name], nil
}

func (p *fakePlatform) Put(_ context.Context, name siskin.ObjectName, value []byte, ifVersion siskin.Version, op siskin.OperationID) (siskin.Version, error) {
	p.mu.Lock()
	if beforePut := p.beforePut; beforePut != nil {
		p.beforePut = nil
		p.mu.Unlock()
		beforePut()
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	p.calls++
	o := p.objects[name]
	switch {
	case p.down:
		return 0, siskin.NewError(siskin.Unavailable, "the platform is down")
	case o.Version != ifVersion:
		return 0, siskin.NewError(siskin.Conflict, "version %d, not %d", o.Version, ifVersion)
	}
	p.writes++
	p.objects[name] = siskin.Object{Name: name, Version: ifVersion + 1, Operation: op, Value: value}
	if p.loseAnswers > 0 {
		p.loseAnswers--
		return 0, siskin.NewError(siskin.OutcomeUnknown, "the answer was lost")
	}
	return ifVersion + 1, nil
}

func (p *fakePlatform) set(change func(*fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}
