package entry

import (
	"context"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/memory"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
	"siskintray.example/siskin/internal/views"
)

// Homes runs statements at the homes of their targets.
type Homes interface {
	// Run tries the home of the target and, as long as the statement was not
	// sent, the VMs next in rank.
	Run(ctx context.Context, req *home.Request) home.Reply
}

// Limiter admits operations, and refunds those that were not sent to a target.
type Limiter interface {
	siskin.Limiter
	siskin.ClassLimiter
	siskin.Refunder
}

// Config holds the dependencies of an Entry.
type Config struct {
	Clock   siskin.Clock
	Self    siskin.VM
	Table   *table.Table
	Roster  *roster.Roster
	Views   *views.Views
	Homes   Homes
	Limiter Limiter
	// Live returns the VMs that accept work, as siskin.Members does. Without it,
	// no data centre counts as silent.
	Live func() []siskin.VM
	// Probe asks a target for its state, without a slot or a connection of a
	// customer. Without it, requests serve as trials.
	Probe   func(ctx context.Context, id siskin.TargetID) error
	Log     *log.Logger
	Metrics *Metrics
	// Memory bounds the values and prepared statements of sessions. It may be nil.
	Memory *memory.Account
	// Random returns a number from 0 to 1. It is rand.Float64 if nil.
	Random func() float64
}
