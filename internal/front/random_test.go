package front

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
)

var (
	randomTime = flag.Duration("random.time", 3*time.Second, "length of the randomised run")
	randomSeed = flag.Uint64("random.seed", 1, "seed of the randomised run")
)

// TestRandomFaults guards against mixed answers, acknowledged writes that are
// missing, writes that are reported as not run but ran, and requests that run
// twice, while connections break or become silent, answers are lost, requests
// time out or are cancelled, and slots change their owner. A broken invariant
// in the program panics and ends the run.
func TestRandomFaults(t *testing.T) { randomFaults(t, *randomTime, *randomSeed) }

// TestSoak repeats the run of TestRandomFaults with increasing seeds.
func TestSoak(t *testing.T) {
	soak.Each(t, func(t *testing.T, seed uint64) {
		randomFaults(t, min(soak.RunDuration(time.Second), 5*time.Second), seed)
	})
}

func randomFaults(t *testing.T, length time.Duration, seed uint64) {
	if testing.Short() {
		length = min(length, time.Second)
	}
	t.Logf("-random.seed=%d -random.time=%v", seed, length)
	f := startFleet(t, 3, func(_ *target.Config, s *config.Service) {
		s.ConnectionsPerSlot = 4
		for i := range s.Routes { // so that the run ends soon after its last fault
			s.Routes[i].Deadline = min(s.Routes[i].Deadline, config.Duration(2*time.Second))
		}
	})
	h := &history{acked: map[string]bool{}, notRun: map[string]bool{}, unknown: map[string]bool{}}
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for w := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(seed, uint64(w)))
			for n := 0; time.Now().Before(end); n++ {
				f.randomSession(h, rnd, fmt.Sprintf("%d-%d", w, n), end)
			}
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		f.randomFaults(rand.New(rand.NewPCG(seed, 1000)), end)
	}()
	wg.Wait()
	h.check(t, f)
}

func (f *fleet) randomFaults(rnd *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(20+rnd.IntN(80)) * time.Millisecond)
		s := f.targets[rnd.IntN(len(f.targets))]
		switch rnd.IntN(6) {
		case 0:
			s.CutClients()
		case 1:
			s.SilenceOpen()
		case 2:
			f.targets[0].LoseAnswers("COMMIT", 1+rnd.IntN(3))
		case 3:
			s.SetRefuse(true)
			time.Sleep(time.Duration(rnd.IntN(50)) * time.Millisecond)
			s.SetRefuse(false)
		case 4:
			f.group.noAck.Store(true)
			time.Sleep(time.Duration(rnd.IntN(50)) * time.Millisecond)
			f.group.noAck.Store(false)
		case 5:
			vm := f.vms[rnd.IntN(len(f.vms))]
			if keys := vm.pool.Owned(); len(keys) > 0 {
				vm.pool.Drop(keys[rnd.IntN(len(keys))])
			}
			time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
			vm.ownSlots()
		}
	}
}

// randomSession runs statements on one connection and sometimes disconnects in
// the middle of an answer.
func (f *fleet) randomSession(h *history, rnd *rand.Rand, name string, end time.Time) {
	vm := f.vms[rnd.IntN(len(f.vms))]
	conn, err := net.Dial("tcp", vm.address)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	c := &rawClient{tb: f.tb, conn: conn, fe: pgproto3.NewFrontend(conn, conn)}
	route := []string{"write", "short", "read"}[rnd.IntN(3)]
	if c.login("badges/"+route) != nil {
		return
	}
	for i := 0; i < 20 && time.Now().Before(end); i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		if rnd.IntN(40) == 0 { // disconnect during the answer
			c.fe.Send(&pgproto3.Query{String: "select generate_series(1, 50000)"})
			_ = c.fe.Flush()
			return
		}
		if rnd.IntN(30) == 0 {
			f.sendCancel(rnd, c)
		}
		var a rawAnswer
		if rnd.IntN(2) == 0 || route == "read" {
			a = c.randomRead(rnd, id)
			h.read(a, id)
		} else {
			a = c.randomWrite(rnd, id)
			h.write(a, id)
		}
		if a.status == 0 {
			return
		}
	}
}

func (c *rawClient) login(database string) error {
	c.fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "any", "database": database}})
	if err := c.fe.Flush(); err != nil {
		return err
	}
	for {
		msg, err := c.fe.Receive()
		if err != nil {
			return err
		}
		switch msg := msg.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			c.fe.Send(&pgproto3.PasswordMessage{Password: testKey})
			if err := c.fe.Flush(); err != nil {
				return err
			}
		case *pgproto3.BackendKeyData:
			c.key = *msg
		case *pgproto3.ErrorResponse:
			return errors.New(msg.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

func (f *fleet) sendCancel(rnd *rand.Rand, c *rawClient) {
	address := f.vms[rnd.IntN(len(f.vms))].address
	msg, _ := (&pgproto3.CancelRequest{ProcessID: c.key.ProcessID, SecretKey: c.key.SecretKey}).Encode(nil)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = conn.Write(msg)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, _ = io.Copy(io.Discard, conn)
}

func (c *rawClient) send(msgs ...pgproto3.FrontendMessage) rawAnswer {
	for _, m := range msgs {
		c.fe.Send(m)
	}
	if c.fe.Flush() != nil {
		return rawAnswer{}
	}
	return c.read()
}

func (c *rawClient) randomRead(rnd *rand.Rand, id string) rawAnswer {
	if rnd.IntN(2) == 0 {
		return c.send(&pgproto3.Query{String: "select '" + id + "'"})
	}
	return c.send(&pgproto3.Parse{Name: "r" + id, Query: "select $1::text"}, &pgproto3.Bind{PreparedStatement: "r" + id, Parameters: [][]byte{[]byte(id)}},
		&pgproto3.Execute{}, &pgproto3.Sync{})
}

func (c *rawClient) randomWrite(rnd *rand.Rand, id string) rawAnswer {
	switch rnd.IntN(3) {
	case 0:
		return c.send(&pgproto3.Query{String: "insert into kv values ('" + id + "', 'x')"})
	case 1:
		return c.send(&pgproto3.Parse{Query: "insert into kv values ($1, $2)"},
			&pgproto3.Bind{Parameters: [][]byte{[]byte(id), []byte("x")}}, &pgproto3.Execute{}, &pgproto3.Sync{})
	}
	if a := c.send(&pgproto3.Query{String: "begin"}); a.code() != "" || a.status != 'T' {
		return a
	}
	if a := c.send(&pgproto3.Query{String: "insert into kv values ('" + id + "', 'x')"}); a.code() != "" || a.status != 'T' {
		if a.status == 'E' {
			c.send(&pgproto3.Query{String: "rollback"})
		}
		return a
	}
	return c.send(&pgproto3.Query{String: "commit"})
}
