package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// order is one call of the promotion API.
type order struct {
	service, target, holder string
	fence                   uint64
}

// promoter is the platform's promotion API. It checks fences.
type promoter struct {
	rec     *recorder
	groups  map[string]*group
	server  *http.Server
	address string
	wg      sync.WaitGroup
	closing chan struct{}

	mu sync.Mutex
	// late returns after which time an order without an answer is carried out,
	// or zero for an order that is answered.
	late func(o order) time.Duration
}

func startPromoter(rec *recorder, groups []*group) (*promoter, error) {
	p := &promoter{rec: rec, groups: make(map[string]*group), closing: make(chan struct{})}
	for _, g := range groups {
		p.groups[g.service] = g
	}
	l, err := listenFree()
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.handle)
	p.server, p.address = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}, l.Addr().String()
	p.wg.Go(func() { _ = p.server.Serve(l) }) // returns after Close
	return p, nil
}

func (p *promoter) setLate(f func(order) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late = f
}

func (p *promoter) handle(w http.ResponseWriter, r *http.Request) {
	var in struct{ Service, ID string }
	fence, err := strconv.ParseUint(r.Header.Get("Fence"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&in) != nil || p.groups[in.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := order{in.Service, in.ID, r.Header.Get("Holder"), fence}
	p.mu.Lock()
	late := p.late
	p.mu.Unlock()
	var delay time.Duration
	if late != nil {
		delay = late(o)
	}
	if delay == 0 {
		accepted := p.execute(o)
		p.rec.logf("platform answers %s: promote %s with fence %d, accepted %v", o.holder, o.target, o.fence, accepted)
		if !accepted {
			w.WriteHeader(http.StatusConflict)
		}
		return
	}
	p.rec.logf("platform does not answer %s: promote %s with fence %d, carried out in %v", o.holder, o.target, o.fence, delay)
	p.wg.Go(func() {
		if p.sleep(delay) {
			p.rec.logf("platform carries out the order of %s: promote %s with fence %d, accepted %v", o.holder, o.target, o.fence, p.execute(o))
		}
	})
	select { // the connection stays silent
	case <-r.Context().Done():
	case <-p.closing:
	}
	panic(http.ErrAbortHandler)
}

func (p *promoter) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-p.closing:
		return false
	}
}

// execute checks the fence and promotes the target some time later.
func (p *promoter) execute(o order) bool {
	g := p.groups[o.service]
	g.mu.Lock()
	accepted := o.fence >= g.fence
	g.fence = max(g.fence, o.fence)
	g.mu.Unlock()
	if accepted {
		p.wg.Go(func() {
			if p.sleep(g.promotion) {
				g.promote(o.target)
			}
		})
	}
	return accepted
}

func (p *promoter) close() {
	close(p.closing)
	_ = p.server.Close() // the run has ended
	p.wg.Wait()
}
