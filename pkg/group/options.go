package group

import (
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
)

// Option configures a Group.
type Option func(*Group)

// WithClock sets the clock; the default is the system clock.
func WithClock(c siskin.Clock) Option { return func(g *Group) { g.clock = c } }

// WithLogger sets the logger for changes of primary; the default logs nothing.
func WithLogger(l *log.Logger) Option { return func(g *Group) { g.log = l } }

// WithRank sets the function that returns this VM's rank among the VMs that
// watch the group, such as its index in place.Rank. The VM of rank 0 acts
// first; the default is 0.
func WithRank(rank func() int) Option { return func(g *Group) { g.rank = rank } }

// WithAwake sets the function that reports whether this VM may use its roles.
// While it returns false, after a pause of the VM, the group does not claim,
// promote or redirect targets. Resume must be called before it returns true
// again.
func WithAwake(awake func() bool) Option { return func(g *Group) { g.awake = awake } }

// WithWatcher sets the function that reports whether this VM is one of the
// watchers of the group, which probe its targets all the time. Other VMs
// receive the watchers' views through ApplyView and probe only after a failure.
// The default is true.
func WithWatcher(watcher func() bool) Option { return func(g *Group) { g.watcher = watcher } }

// WithStatementActivity sets the function that returns since when the longest
// waiting statement of this VM waits for the target, zero if none waits, and
// when the target last answered a statement. The default reports no statements.
func WithStatementActivity(statementActivity func(siskin.TargetID) (quiet, last time.Time)) Option {
	return func(g *Group) { g.statementActivity = statementActivity }
}

// WithSeed sets the seed of the random delays.
func WithSeed(seed uint64) Option {
	return func(g *Group) { g.rng = rand.New(rand.NewPCG(seed, seed)) }
}
