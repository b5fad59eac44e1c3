package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"siskintray.example/siskin"
)

func init() { scenarios["stop"] = stop }

const (
	// thinkTime is the pause of a client between two statements of a
	// transaction, below the idle timeout of 3 s.
	thinkTime = 250 * time.Millisecond
	// txStatements is the largest number of statements of a transaction.
	txStatements = 12
	// lossSlack is loss_slack_ms of the site.
	lossSlack = 200 * time.Millisecond
	// lateStart is the time after SIGTERM after which a request that is cut at
	// the end of the grace counts.
	lateStart = 3 * time.Second
	stopUsers = 24
	// clientDelay is the one-way delay between a client and a VM.
	clientDelay = 3 * time.Millisecond
)

// cut is a request whose connection ended without a complete answer.
type cut struct {
	id, text string
	sentAt   time.Duration
	endedAt  time.Duration
}

// stop stops a VM as planned while clients run transactions on it.
func stop(r *rig) error {
	err := r.start([]string{"dc-1", "dc-2"}, groupOptions{
		service: "ledger", slots: 3, work: 30 * time.Millisecond, maxConns: 38, sync: 1, promotion: 600 * time.Millisecond,
		targets: []targetOptions{{zone: "dc-1", lag: 20e6}, {zone: "dc-2", lag: 20e6}, {zone: "dc-1", lag: 20e6}},
	})
	if err != nil {
		return err
	}
	g, v := r.groups[0], r.vms[1]
	var (
		end  atomic.Bool
		done sync.WaitGroup
		mu   sync.Mutex
		cuts []cut
		good int
	)
	for n := range stopUsers {
		done.Go(func() {
			time.Sleep(time.Duration(n) * 137 * time.Millisecond)
			for !end.Load() {
				c, err := dial(r.rec, fmt.Sprintf("u%02d", n), v.caller, database(g.service, siskin.ReadYourWrites), key)
				if err != nil {
					return // the balancer sends new sessions to other VMs
				}
				for !end.Load() {
					a, text, err := transaction(c, n)
					mu.Lock()
					switch {
					case err != nil && a.sentAt > 0 && text != "":
						cuts = append(cuts, cut{a.id, text, a.sentAt, r.rec.now()})
					case err == nil:
						good++
					}
					mu.Unlock()
					if err != nil || a.state != "I" {
						break
					}
				}
				c.close()
			}
		})
	}
	time.Sleep(5 * time.Second)
	began := r.rec.now()
	if r.trouble {
		v.stop(syscall.SIGTERM)
	} else {
		time.Sleep(grace)
	}
	time.Sleep(500 * time.Millisecond)
	end.Store(true)
	done.Wait()
	ran := make(map[string]time.Duration)
	for _, t := range g.targets {
		for _, s := range t.statements() {
			ran[s.id] = s.at
		}
	}
	broken := 0
	mu.Lock()
	defer mu.Unlock()
	for _, c := range cuts {
		at, passed := ran[c.id]
		r.rec.logf("request %s %q was sent %v after SIGTERM, passed on: %v, and the connection ended %v after SIGTERM without an answer",
			c.id, c.text, c.sentAt-began, passed, c.endedAt-began)
		counts := passed && at < c.endedAt || c.endedAt-c.sentAt > lossSlack
		if counts && c.sentAt-began > lateStart && c.endedAt-began < grace+time.Second {
			broken++
			r.rec.logf("LOST: request %s", c.id)
		}
	}
	fmt.Printf("%d transactions ended; %d requests cut, %d of them count\n", good, len(cuts), broken)
	if broken > 0 {
		return errBroken
	}
	if good == 0 {
		return errors.New("no transaction ended")
	}
	return nil
}

// transaction runs a transaction with pauses. With an error it returns the last
// request and its text, which is empty if the session ended between requests.
func transaction(c *client, n int) (a answer, text string, err error) {
	list := []string{"BEGIN"}
	for i := range txStatements - 2 {
		if i%3 == 0 {
			list = append(list, fmt.Sprintf("WRITE item%d v%d", n, i))
		} else {
			list = append(list, fmt.Sprintf("READ item%d", n))
		}
	}
	list = append(list, "COMMIT")
	for _, text = range list {
		time.Sleep(2 * clientDelay)
		if c.ended() {
			return answer{}, "", errors.New("the session ended while no request was outstanding")
		}
		if a, err = c.query(text); err != nil {
			return a, text, err
		}
		if a.state == "E" {
			a, err = c.query("ROLLBACK")
			return a, "ROLLBACK", err
		}
		if strings.HasPrefix(text, "COMMIT") {
			break
		}
		time.Sleep(thinkTime)
	}
	return a, text, nil
}
