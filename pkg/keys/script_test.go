package keys

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// runScripts runs the commands of each file of an archive by a function that
// start returns for the file, and compares the results.
func runScripts(t *testing.T, name string, start func() func(args []string) string) {
	t.Helper()
	archive, err := txtar.ParseFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			run := start()
			for line := range strings.Lines(string(file.Data)) {
				command, want, _ := strings.Cut(strings.TrimSpace(line), " => ")
				if command == "" || command[0] == '#' {
					continue
				}
				if got := run(strings.Fields(command)); got != want {
					t.Errorf("%s: got %q, want %q", command, got, want)
				}
			}
		})
	}
}

// TestEvidence guards against an isolated data centre that accepts keys for too
// long, and against an outage of the platform in which no key is accepted.
func TestEvidence(t *testing.T) {
	at := func(text string) time.Time {
		d, err := time.ParseDuration(text + "s")
		if err != nil {
			panic(err)
		}
		return time.Unix(1_800_000_000, 0).Add(d)
	}
	runScripts(t, "evidence.txtar", func() func([]string) string {
		tracker := NewTracker("d1")
		return func(args []string) string {
			switch args[0] {
			case "platform":
				tracker.PlatformAnswered(at(args[1]))
			case "peer":
				tracker.PeerProof(at(args[2]), at(args[3]).Sub(at("0")))
				tracker.PeerPlatform(siskin.DataCentreID(args[1]), at(args[2]), args[4] == "down")
			case "decide":
				if MayAccept(at(args[1]), tracker.Evidence([]siskin.DataCentreID{"d1", "d2", "d3"}), at(args[2]).Sub(at("0"))) {
					return "serve"
				}
				return "refuse"
			}
			return ""
		}
	})
}

// mutableView is a config.View that tests change.
type mutableView struct {
	*config.StaticView
	revision siskin.Revision
	docs     map[siskin.CustomerID]*config.Customer
	changed  chan struct{}
}

func (c *mutableView) Revision() siskin.Revision { return c.revision }

func (c *mutableView) Changed() <-chan struct{} { return c.changed }

func (c *mutableView) apply(revision siskin.Revision) {
	var list []*config.Customer
	for _, doc := range c.docs {
		list = append(list, doc)
	}
	c.StaticView = config.NewStaticView([]*config.Service{{Name: "s", KeyGrace: config.Duration(time.Minute)}}, list)
	c.revision = max(c.revision, revision)
}

// TestKeys guards against keys that are accepted for a service without a grant,
// after their withdrawal, or again after an older document arrived.
func TestKeys(t *testing.T) {
	runScripts(t, "keys.txtar", func() func([]string) string {
		c := &mutableView{docs: make(map[siskin.CustomerID]*config.Customer)}
		c.apply(0)
		k := New(nil, c)
		_ = k.Close() // the script calls refresh itself
		return func(args []string) string { return runCommand(c, k, args) }
	})
}

func runCommand(c *mutableView, k *Keys, args []string) string {
	switch args[0] {
	case "customer", "remove":
		var revision siskin.Revision
		fmt.Sscan(args[2], &revision)
		id := siskin.CustomerID(args[1])
		if delete(c.docs, id); args[0] == "customer" {
			c.docs[id] = document(id, revision, args[3], args[4])
		}
		c.apply(revision)
		signal := k.Withdrawn()
		k.refresh()
		select {
		case <-signal:
			return "woken"
		default:
			return ""
		}
	case "auth":
		grant, err := k.Authenticate(siskin.ServiceName(args[1]), args[2])
		if err != nil {
			if Scan([]byte(err.Error()), args[2]) != NoLeak && len(args[2]) > 2 {
				return "leak in " + err.Error()
			}
			return siskin.KindOf(err).String()
		}
		return string(grant.Customer)
	case "confirm":
		var request ConfirmArgs
		var reply ConfirmReply
		fmt.Sscan(args[1], &request.Revision)
		request.Customer, request.Key = siskin.CustomerID(args[2]), siskin.KeyID(args[3])
		_ = k.Receiver().Confirm(&request, &reply)
		return fmt.Sprint(reply.InForce)
	default:
		err := k.Check(siskin.ServiceName(args[1]), siskin.KeyGrant{Customer: siskin.CustomerID(args[2]), Key: siskin.KeyID(args[3])})
		if err != nil {
			return siskin.KindOf(err).String()
		}
		return "ok"
	}
}

func document(id siskin.CustomerID, revision siskin.Revision, services, list string) *config.Customer {
	doc := &config.Customer{ID: id, Revision: revision}
	for s := range strings.SplitSeq(strings.TrimPrefix(services, "services="), ",") {
		doc.Services = append(doc.Services, siskin.ServiceName(s))
	}
	for key := range strings.SplitSeq(strings.TrimPrefix(list, "keys="), ",") {
		key, withdrawn := strings.CutSuffix(key, "!")
		doc.Keys = append(doc.Keys, config.Key{ID: siskin.KeyID(key), Digest: Digest(key), Withdrawn: withdrawn})
	}
	return doc
}
