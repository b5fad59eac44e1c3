package path

import (
	"context"
	"io"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/peer"
)

const (
	// otherVM is the VM that is called in these tests. A path of newPath counts
	// it as live.
	otherVM siskin.VMID = "vm-17"
	// maxMessage is the largest message of a caller or target.
	maxMessage = 1 << 20
)

// echoHome answers each request with the texts of the request.
type echoHome struct{ requests chan home.Request }

func (e *echoHome) Run(req *home.Request, reply *home.Reply) error {
	e.requests <- *req
	*reply = home.Reply{Outcome: home.Answered, Answer: echo(req)}
	return nil
}

func echo(req *home.Request) siskin.Answer {
	s := &req.Statement
	a := siskin.Answer{Signature: string(s.ID), Message: s.Text, Rows: []string{s.Text, "", s.Name, req.Prepared.Shape}}
	for _, v := range req.Values {
		a.Rows = append(a.Rows, v.Name, v.Text)
	}
	return a
}

// newPeerPath returns a Path whose calls of other VMs go to address.
func newPeerPath(t testing.TB, address string, log io.Writer) *Path {
	t.Helper()
	p, _ := newPath(t)
	c := peer.NewClient(peer.Config{Self: "vm-00"}, func(siskin.VMID) (string, bool) { return address, true })
	t.Cleanup(func() { c.Close() })
	p.cfg.Log, p.cfg.Peers = logs.New("error", "json", log), c
	return p
}

// startHome starts the VM otherVM with receiver as its service Home.
func startHome(t testing.TB, receiver any) *peer.Server {
	t.Helper()
	s, err := peer.Listen(peer.Config{Self: otherVM}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	if err := s.Register("Home", receiver); err != nil {
		t.Fatal(err)
	}
	s.Serve()
	return s
}

func runOn(p *Path, req *home.Request) home.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, _ := p.runOn(ctx, otherVM, req)
	return reply
}
