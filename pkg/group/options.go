package group

import (
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
)

// Option changes how a Group is made.
type Option func(*Group)

// WithClock sets the clock; the default is the real one.
func WithClock(c siskin.Clock) Option { return func(g *Group) { g.clock = c } }

// WithLogger sets the logger of changes of primary; the default logs nothing.
func WithLogger(l *log.Logger) Option { return func(g *Group) { g.log = l } }

// WithRank sets the function that returns this VM's place among the VMs that
// watch the group, such as its place in place.Rank. The first acts first; the
// default is 0.
func WithRank(rank func() int) Option { return func(g *Group) { g.rank = rank } }

// WithAwake sets the function that reports whether this VM may use its roles.
// While it returns false, after a pause of the VM, the group claims, promotes
// and redirects no target. Resume must be called before it returns true again.
func WithAwake(awake func() bool) Option { return func(g *Group) { g.awake = awake } }

// WithWatcher sets the function that reports whether this VM is one of the
// watchers of the group, which probe its targets all the time. The others are
// told by ApplyView and probe only while something is wrong. The default is true.
func WithWatcher(watcher func() bool) Option { return func(g *Group) { g.watcher = watcher } }

// WithStatementActivity sets the function that reports since when the longest wait of a
// statement of this VM for a target lasts, zero when none waits, and when the
// target last answered any. The default knows of no statements.
func WithStatementActivity(statementActivity func(siskin.TargetID) (quiet, last time.Time)) Option {
	return func(g *Group) { g.statementActivity = statementActivity }
}

// WithSeed sets the seed of the random delays.
func WithSeed(seed uint64) Option {
	return func(g *Group) { g.rng = rand.New(rand.NewPCG(seed, seed)) }
}
