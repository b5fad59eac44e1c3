package procs

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"siskintray.example/siskin/platform/stand"
)

const (
	hostileVMs     = 3
	hostileCallers = 12
	// hostileSpan is how long callers send statements.
	hostileSpan = 3 * time.Second
	// hostileSettle is the time for statements that are still under way when the
	// last caller has gone.
	hostileSettle = 500 * time.Millisecond
	rowInterval   = 20 * time.Millisecond
)

// hostileSeeds are those that CI plays: the first without, the second with restarts
// and changes of the primary.
var hostileSeeds = []int64{1, 2}

// TestHostileInput guards against answers and statements that are not the caller's
// own, beside callers that send any legal bytes and targets that answer twice, late
// and in pieces. SISKIN_SEED gives the first of SISKIN_SEEDS seeds to play instead.
func TestHostileInput(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, seed := range seedsToPlay(hostileSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { playHostile(t, seed) })
	}
}

// hostileAnswers returns how the targets of a seed answer.
func hostileAnswers(seed int64) stand.AnswerOptions {
	o := stand.AnswerOptions{
		RepeatShare: 0.05, RepeatDelay: 40 * time.Millisecond, BusyShare: 0.03, PieceShare: 0.3, PiecePause: 2 * time.Millisecond,
		RepeatBlocks: seed%3 == 2, RepeatStart: seed%5 == 2,
	}
	if seed%4 >= 2 {
		o.RepeatDelay = 500 * time.Millisecond
	}
	return o
}

func playHostile(t *testing.T, seed int64) {
	f := startFleet(t, hostileVMs)
	f.platform.RecordStatements(service)
	options := hostileAnswers(seed)
	for i, target := range f.platform.Targets(service) {
		options.Seed = seed*100 + int64(i)
		target.SetAnswers(options)
	}
	p := &player{f: f, rng: rand.New(rand.NewSource(seed))}
	stop, end := make(chan struct{}), time.Now().Add(hostileSpan)
	var all sync.WaitGroup
	callers := make([]*hostileCaller, hostileCallers)
	for n := range callers {
		callers[n] = &hostileCaller{f: f, n: n, rng: rand.New(rand.NewSource(seed*1000 + int64(n)))}
		all.Go(func() { callers[n].run(stop) })
	}
	all.Go(func() { writeRows(f, seed, stop) })
	for time.Now().Before(end) {
		if seed%2 == 0 {
			p.hostileStep()
		}
		time.Sleep(time.Duration(300+p.rng.Intn(900)) * time.Millisecond)
	}
	p.faults.Wait()
	close(stop)
	all.Wait()
	time.Sleep(hostileSettle)
	primary := f.platform.Primary(service)
	if primary == nil {
		t.Fatal("got no primary at the end")
	}
	var calls []*call
	for _, h := range callers {
		calls = append(calls, h.calls...)
	}
	records := f.platform.Records(service)
	v := newViolations(t)
	e := newEvidence(v, primary, calls, records)
	e.check()
	summarize(t, f, calls, len(records))
	t.Logf("seed %d, answers %+v, %d first statements of transactions ran again, violations: %v", seed, options, e.reruns, v)
	if t.Failed() {
		t.Logf("seed %d played: %s", seed, strings.Join(p.done, "; "))
	}
}

// hostileStep begins a restart of a VM, a crash of a target, or a change of the
// primary.
func (p *player) hostileStep() {
	v := p.f.vms[p.rng.Intn(len(p.f.vms))]
	targets := p.f.platform.Targets(service)
	target := targets[p.rng.Intn(len(targets))]
	switch p.rng.Intn(4) {
	case 0:
		p.note("SIGTERM %s", v.id)
		p.restart(v, syscall.SIGTERM)
	case 1:
		p.note("SIGKILL %s", v.id)
		p.restart(v, syscall.SIGKILL)
	case 2:
		p.crash(target, time.Duration(200+p.rng.Intn(1500))*time.Millisecond)
	default:
		p.note("promotion of %s", target.ID())
		if err := p.f.platform.Promote(target); err != nil {
			p.note("refused: %v", err)
		}
	}
}

// writeRows writes rows at the target itself until stop is closed.
func writeRows(f *fleet, seed int64, stop <-chan struct{}) {
	rng := rand.New(rand.NewSource(seed))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(rowInterval):
		}
		if primary := f.platform.Primary(service); primary != nil {
			primary.Write(fmt.Sprintf("row%d", rng.Intn(rowItems)), fmt.Sprintf("%d%s", n, oddText(rng)))
		}
	}
}

// summarize logs how much was played, and fails if that is too little.
func summarize(t *testing.T, f *fleet, calls []*call, records int) {
	t.Helper()
	answers := make(map[string]int)
	successes := make(map[string]int)
	for _, c := range calls {
		switch {
		case !c.answered:
			answers["none"]++
		case c.result.Code == "":
			successes[c.word]++
		default:
			answers[c.result.Code]++
		}
	}
	repeated, refused := int64(0), int64(0)
	for _, target := range f.platform.Targets(service) {
		repeated, refused = repeated+target.Repeated(), refused+target.Refused()
	}
	t.Logf("%d calls, %d statements ran, %d answers sent twice, %d refused; successes %v, other answers %v",
		len(calls), records, repeated, refused, successes, answers)
	for _, word := range []string{"READ", "WRITE", "EXEC", "COMMIT"} {
		if got, least := successes[word], 50; got < least {
			t.Errorf("successes of %s: got %d, want at least %d", word, got, least)
		}
	}
	if repeated == 0 || refused == 0 {
		t.Errorf("answers sent twice and refused statements: got %d and %d, want some", repeated, refused)
	}
}
