package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// link forwards connections to an address. While it is cut, what is sent waits,
// as packets that are sent again until the cut ends.
type link struct {
	l      net.Listener
	target string

	mu sync.Mutex
	// cuts are the first messages that mark a connection as cut, by a text that
	// they contain. The empty text cuts all.
	cuts   map[string]bool
	healed chan struct{}
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{l: l, target: target, cuts: make(map[string]bool), healed: make(chan struct{})}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.l.Addr().String() }

// cut cuts the connections whose first message contains the text, or heals them.
func (k *link) cut(text string, on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if on {
		k.cuts[text] = true
		return
	}
	delete(k.cuts, text)
	close(k.healed)
	k.healed = make(chan struct{})
}

func (k *link) accept() {
	for {
		a, err := k.l.Accept()
		if err != nil {
			return
		}
		go k.serve(a)
	}
}

func (k *link) serve(a net.Conn) {
	defer a.Close()
	first := make([]byte, 16<<10)
	_ = a.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := a.Read(first)
	if err != nil {
		return
	}
	_ = a.SetReadDeadline(time.Time{})
	first = first[:n]
	k.pass(first)
	b, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		return
	}
	defer b.Close()
	if _, err := b.Write(first); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go k.forward(a, b, first, done)
	go k.forward(b, a, first, done)
	<-done
}

func (k *link) forward(to, from net.Conn, first []byte, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		k.pass(first)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits while a connection with this first message is cut.
func (k *link) pass(first []byte) {
	for {
		k.mu.Lock()
		cut, healed := false, k.healed
		for text := range k.cuts {
			cut = cut || bytes.Contains(first, []byte(text))
		}
		k.mu.Unlock()
		if !cut {
			return
		}
		<-healed
	}
}
