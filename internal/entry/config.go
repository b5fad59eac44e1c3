package entry

import (
	"context"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
	"siskintray.example/siskin/internal/views"
)

// Homes runs a statement at the home of its target.
type Homes interface {
	// Run tries the target's home and, while nothing was sent, the VMs that
	// follow it in rank.
	Run(ctx context.Context, req *home.Request) home.Reply
}

// Limiter admits operations, and takes back those that were not sent on.
type Limiter interface {
	siskin.Limiter
	siskin.Refunder
}

// Config holds what sessions depend on.
type Config struct {
	Clock   siskin.Clock
	Self    siskin.VM
	Table   *table.Table
	Roster  *roster.Roster
	Views   *views.Views
	Homes   Homes
	Limiter Limiter
	Log     *log.Logger
	Metrics *Metrics
}
