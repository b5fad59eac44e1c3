package target

import (
	"bytes"
	"net"
	"slices"
	"sync"
)

// slotCount is the number of connections open in one slot and the largest
// number seen, refused connections not included.
type slotCount struct{ Open, Max int }

// Stats counts what a target has seen.
type Stats struct {
	Slots      []slotCount
	Control    slotCount // connections without a slot
	Refused    int       // connections refused because their slot was full
	Statements int
}

type stats struct {
	mu       sync.Mutex
	slots    []slotCount
	control  slotCount
	refused  int
	count    int
	received bytes.Buffer
}

// enter counts a connection; slot -1 is a control connection.
func (st *stats) enter(slot, limit int) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	c := &st.control
	if slot >= 0 {
		c = &st.slots[slot]
		if c.Open >= limit {
			st.refused++
			return false
		}
	}
	c.Open++
	c.Max = max(c.Max, c.Open)
	return true
}

func (st *stats) leave(slot int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if slot >= 0 {
		st.slots[slot].Open--
		return
	}
	st.control.Open--
}

func (st *stats) statement() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.count++
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	st := &s.stats
	st.mu.Lock()
	defer st.mu.Unlock()
	return Stats{Slots: slices.Clone(st.slots), Control: st.control, Refused: st.refused, Statements: st.count}
}

// Received reports whether the bytes received from clients contain text. It
// needs Config.RecordReceived.
func (s *Server) Received(text string) bool {
	st := &s.stats
	st.mu.Lock()
	defer st.mu.Unlock()
	return bytes.Contains(st.received.Bytes(), []byte(text))
}

// recorder keeps the bytes read from a client.
type recorder struct {
	net.Conn
	stats *stats
}

// Read implements net.Conn.
func (r recorder) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.stats.mu.Lock()
	defer r.stats.mu.Unlock()
	r.stats.received.Write(p[:n])
	return n, err
}
