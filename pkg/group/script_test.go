package group

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"siskintray.example/siskin"
)

// script runs the machine of one VM with the commands of a file.
type script struct {
	m           *machine
	now         time.Time
	lastAttempt int // number of the last attempt seen
}

// TestScripts guards against decisions that differ from those in testdata. A
// line is a command; the lines after it that start with ">" are the actions,
// except probes, that it must return.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scripts, %v, want some", len(files), err)
	}
	for _, file := range files {
		ar, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range ar.Files {
			t.Run(filepath.Base(file)+"/"+f.Name, func(t *testing.T) { runScript(t, string(f.Data)) })
		}
	}
}

func runScript(t *testing.T, text string) {
	set := Settings{Service: "ledger", Self: "vm-1", AckReplicas: 1, Members: []Member{{ID: "t/1"}, {ID: "t/2"}, {ID: "t/3"}}}
	set, err := set.withDefaults()
	if err != nil {
		t.Fatal(err)
	}
	s := &script{m: newMachine(set, rand.New(rand.NewPCG(1, 1))), now: time.Unix(1000, 0)}
	var command string
	var got, want []string
	check := func() {
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Errorf("%s: got %q, want %q", command, got, want)
		}
		got, want = nil, nil
	}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if rest, ok := strings.CutPrefix(line, ">"); ok {
			want = append(want, strings.TrimSpace(rest))
			continue
		}
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		check()
		command = line
		got = append(got, s.run(t, strings.Fields(line))...)
	}
	check()
}

// run runs "after DURATION", "pending", or "EVENT TARGET key=value...".
func (s *script) run(t *testing.T, f []string) (actions []string) {
	t.Helper()
	switch f[0] {
	case "pending":
		s.m.pendingSince = s.now
		return nil
	case "after":
		d, err := time.ParseDuration(f[1])
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(d)
		return s.format(s.m.step(s.now, event{kind: evTick}))
	}
	kinds := map[string]eventKind{"status": evStatus, "refused": evRefused, "failed": evFailed, "claimed": evClaimed, "promoted": evPromoted, "drained": evDrained, "reached": evCaughtUp, "change": evChange}
	kind, ok := kinds[f[0]]
	if !ok {
		t.Fatalf("unknown command %q", f[0])
	}
	e := event{kind: kind, target: siskin.TargetID(f[1]), attempt: s.lastAttempt}
	e.status.ID = e.target
	for _, arg := range f[2:] {
		key, value, _ := strings.Cut(arg, "=")
		var n uint64
		_, _ = fmt.Sscan(value, &n) // other values are text
		switch key {
		case "primary":
			e.status.Role = siskin.RolePrimary
		case "ok":
			e.ok = true
		case "conflict":
			e.conflict = true
		case "force":
			e.force = true
		case "leaving":
			e.status.Leaving = true
		case "term":
			e.hasStatus, e.status.StreamTerm, e.status.LastTerm = true, siskin.Term(n), siskin.Term(n)
			e.status.ClaimedTerm = max(e.status.ClaimedTerm, siskin.Term(n))
		case "last":
			e.status.LastTerm = siskin.Term(n)
		case "claim":
			e.status.ClaimedTerm = siskin.Term(n)
		case "lsn":
			e.status.Received = siskin.LSN(n)
		case "running":
			e.status.Running = int(n)
		case "heard":
			e.status.HeardPrimary, _ = time.ParseDuration(value)
		default:
			t.Fatalf("unknown argument %q", arg)
		}
	}
	if kind == evChange {
		e.preferred, e.target = e.target, ""
	}
	return s.format(s.m.step(s.now, e))
}

func (s *script) format(actions []action) (lines []string) {
	for _, a := range actions {
		s.lastAttempt = max(s.lastAttempt, a.attempt)
		switch a.kind {
		case actClaim:
			lines = append(lines, fmt.Sprintf("claim %s %d", a.target, a.term))
		case actPromote:
			lines = append(lines, fmt.Sprintf("promote %s %d", a.target, a.term))
		case actFollow:
			lines = append(lines, fmt.Sprintf("follow %s %s %d", a.target, a.primary, a.term))
		case actDrain:
			lines = append(lines, fmt.Sprintf("drain %s %v", a.target, a.hold))
		case actCatchUp:
			lines = append(lines, fmt.Sprintf("reach %s %d", a.target, a.pos.LSN))
		case actDone:
			lines = append(lines, fmt.Sprintf("done %v", a.err == nil))
		}
	}
	return lines
}
