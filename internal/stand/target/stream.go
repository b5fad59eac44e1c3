package target

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/store"
)

// batchSize bounds the records of one stream message.
const batchSize = 256

// streamHello is a replica's first message and streamBatch every message of
// the primary. The first batch carries From, the point of divergence.
type (
	streamHello struct {
		Replica  siskin.TargetID
		Term     siskin.Term
		Segments []store.Segment
	}
	streamBatch struct {
		From    siskin.LSN
		Records []store.Record
	}
)

func (s *Server) trackStream(conn net.Conn) func() {
	s.mu.Lock()
	s.streams[conn] = struct{}{}
	s.mu.Unlock()
	// Checked after registration, so that a cut that began before it counts.
	if s.ctx.Err() != nil || s.Faults().CutReplication {
		conn.Close()
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, conn)
		conn.Close()
	}
}

// serveStream sends the log to one replica while this target is the primary of
// the term that the replica asked for.
func (s *Server) serveStream(conn net.Conn) {
	defer s.trackStream(conn)()
	var hello streamHello
	if gob.NewDecoder(conn).Decode(&hello) != nil {
		return
	}
	pos, err := s.store.Serve(hello.Term, hello.Segments)
	if err != nil {
		return
	}
	enc := gob.NewEncoder(conn)
	batch := streamBatch{From: pos}
	for {
		if s.fault.waitWhile(s.ctx, paused) != nil || enc.Encode(batch) != nil {
			return
		}
		if batch.Records, err = s.nextRecords(hello.Term, pos); err != nil {
			return
		}
		if n := len(batch.Records); n > 0 {
			pos = batch.Records[n-1].End
		}
	}
}

// nextRecords waits for records behind pos, for at most one heartbeat.
func (s *Server) nextRecords(term siskin.Term, pos siskin.LSN) ([]store.Record, error) {
	deadline := s.clock.After(s.cfg.Heartbeat.Std())
	for {
		changed := s.store.Changed()
		records, err := s.store.Next(term, pos, batchSize)
		if err != nil || len(records) > 0 {
			return records, err
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, nil
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		}
	}
}

// runFollower keeps a stream from the leader while the target is a replica.
func (s *Server) runFollower() {
	for s.ctx.Err() == nil {
		changed := s.store.Changed()
		hello, ok := s.store.Hello()
		if ok && !s.Faults().CutReplication {
			s.follow(hello)
			s.sleep(s.ctx, 10*time.Millisecond) // bounds reconnections to a leader that refuses
			continue
		}
		select {
		case <-changed:
		case <-s.clock.After(20 * time.Millisecond):
		case <-s.ctx.Done():
		}
	}
}

func (s *Server) peerAddress(leader store.Leader) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address, ok := s.peers[leader.ID]; ok {
		return address
	}
	return leader.Address
}

// follow reads one stream until it ends or the state forbids it.
func (s *Server) follow(hello store.Hello) {
	conn, err := net.DialTimeout("tcp", s.peerAddress(hello.Leader), time.Second)
	if err != nil {
		return
	}
	defer s.trackStream(conn)()
	err = gob.NewEncoder(conn).Encode(streamHello{s.cfg.ID, hello.Leader.Term, hello.Segments})
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	arrivals := make(chan arrival, 1024)
	s.start(func() { s.receive(ctx, conn, hello, arrivals) })
	defer cancel()
	dec := gob.NewDecoder(conn)
	for {
		var batch streamBatch
		if dec.Decode(&batch) != nil {
			return
		}
		// The primary is heard on arrival, also when the records lag.
		if s.fault.waitWhile(ctx, paused) != nil || s.store.Receive(s.clock.Now(), hello, nil) != nil {
			return
		}
		select {
		case arrivals <- arrival{s.clock.Now(), batch}:
		case <-ctx.Done():
			return
		}
	}
}

type arrival struct {
	at    time.Time
	batch streamBatch
}

// receive appends the batches of one stream, each LinkDelay after it arrived.
// It closes the connection when the state no longer allows the stream.
func (s *Server) receive(ctx context.Context, conn net.Conn, hello store.Hello, arrivals <-chan arrival) {
	defer conn.Close()
	started := false
	for {
		var a arrival
		select {
		case a = <-arrivals:
		case <-hello.Ended:
			return
		case <-ctx.Done():
			return
		}
		delay := s.Faults().LinkDelay.Std() - s.clock.Since(a.at)
		if !s.sleep(ctx, delay) || s.fault.waitWhile(ctx, paused) != nil {
			return
		}
		if !started {
			if s.store.Start(s.clock.Now(), hello, a.batch.From) != nil {
				return
			}
			started = true
		}
		if s.store.Receive(s.clock.Now(), hello, a.batch.Records) != nil {
			return
		}
	}
}

// runApply applies received records ApplyLag after their receipt.
func (s *Server) runApply() {
	for s.ctx.Err() == nil {
		changed := s.store.Changed()
		st := s.store.Status(s.clock.Now())
		if st.Applied == st.Received {
			select {
			case <-changed:
			case <-s.ctx.Done():
			}
			continue
		}
		if !s.sleep(s.ctx, s.Faults().ApplyLag.Std()) || s.fault.waitWhile(s.ctx, paused) != nil {
			return
		}
		s.store.Apply(st.Received)
	}
}
