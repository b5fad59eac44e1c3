package node

import (
	"context"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/shard"
)

// oneSilentVM implements siskin.Peers. The first VM that is called never answers.
type oneSilentVM struct{ silent siskin.VMID }

// Call implements siskin.Peers.
func (p *oneSilentVM) Call(ctx context.Context, vm siskin.VMID, _ string, _, reply any) error {
	if p.silent == "" {
		p.silent = vm
	}
	if vm == p.silent {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	*reply.(*ViewReply) = ViewReply{Watched: true, View: siskin.GroupView{Term: 3}}
	return nil
}

// TestViewPastSilentHome guards against an operator's request that waits for an
// unresponsive home although another home answers.
func TestViewPastSilentHome(t *testing.T) {
	doc := &config.Service{Name: "ledger", Slots: 8, Targets: []config.Target{{ID: "ledger/1", DataCentre: "dc-1"}}}
	live := []siskin.VM{{ID: "vm-1", DataCentre: "dc-1"}, {ID: "vm-2", DataCentre: "dc-1"}}
	n := &Node{
		cfg:    Config{Config: config.NewStaticView([]*config.Service{doc}, nil), Peers: new(oneSilentVM)},
		homes:  newHomes(&fakeMembers{live: live}),
		groups: &groups{running: shard.New[siskin.ServiceName, *watchedGroup]()},
	}
	if got := len(n.homes.ofService(doc)); got != 2 {
		t.Fatalf("got %d homes, want 2", got)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	view, err := n.View(ctx, "ledger")
	if err != nil || view.Term != 3 {
		t.Errorf("got term %d, %v, want the answer of the other home", view.Term, err)
	}
}
