package cmds

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
)

const promoteHelp = `Makes a target the primary without failing a request: new writes wait, running
ones finish and the target catches up first. With --force and --accept-loss it
promotes even when too few targets can be reached; acknowledged writes can then
be lost.

Examples:
  siskintray group promote ledger-a ledger-a/2
  siskintray group promote ledger-a ledger-a/2 --force --accept-loss`

const groupStatusHelp = `Shows groups and their targets. Without a service it shows a part of the list,
says which groups did not answer in time, and names the service with which the
next part begins.

Examples:
  siskintray group status
  siskintray group status --match badges --timeout 10s
  siskintray group status --from badges-schools --limit 500
  siskintray group status ledger-a`

// groupShow shows groups.
type groupShow struct {
	Match   string             `long:"match" value-name:"TEXT" description:"only services whose name contains this text"`
	From    siskin.ServiceName `long:"from" value-name:"SERVICE" description:"begin the list at this service"`
	Limit   int                `long:"limit" value-name:"N" description:"most services in the list (200)"`
	Timeout time.Duration      `long:"timeout" value-name:"DURATION" description:"longest wait for other VMs (5s)"`
	Args    struct {
		Service siskin.ServiceName `positional-arg-name:"SERVICE"`
	} `positional-args:"yes"`
}

// Run implements Runner.
func (g *groupShow) Run(ctx context.Context, env *Env) (Output, error) {
	if g.Args.Service != "" {
		if g.query() != "" {
			return Output{}, usageError("a service excludes --match, --from, --limit and --timeout")
		}
		list := make([]admin.GroupStatus, 1)
		if err := env.get(ctx, "/groups/"+url.PathEscape(string(g.Args.Service)), &list[0]); err != nil {
			return Output{}, err
		}
		return Output{Value: list, Text: groupText(list)}, nil
	}
	var page admin.GroupPage
	if err := env.get(ctx, "/groups"+g.query(), &page); err != nil {
		return Output{}, err
	}
	out := Output{Value: page, Text: groupText(page.Groups) + pageText(&page)}
	if len(page.Missing) > 0 {
		out.Exit = ExitPartial
	}
	return out, nil
}

// query returns the options as the query of the request.
func (g *groupShow) query() string {
	v := url.Values{}
	set := func(key, value string, isSet bool) {
		if isSet {
			v.Set(key, value)
		}
	}
	set("Match", g.Match, g.Match != "")
	set("From", string(g.From), g.From != "")
	set("Limit", strconv.Itoa(g.Limit), g.Limit != 0)
	set("Timeout", g.Timeout.String(), g.Timeout != 0)
	if len(v) == 0 {
		return ""
	}
	return "?" + v.Encode()
}

// pageText says what a part of the list lacks.
func pageText(p *admin.GroupPage) string {
	var b strings.Builder
	for _, m := range p.Missing {
		fmt.Fprintf(&b, "MISSING: %s: %s\n", m.Service, m.Message)
	}
	if p.Next != "" || len(p.Missing) > 0 {
		fmt.Fprintf(&b, "%d of %d services are shown.\n", len(p.Groups), p.Total)
	}
	if p.Next != "" {
		fmt.Fprintf(&b, "The list goes on with --from %s\n", p.Next)
	}
	return b.String()
}

func groupText(list []admin.GroupStatus) string {
	rows := []string{"SERVICE\tTERM\tRECORDED\tTARGET\tROLE\tSTATE\tRECEIVED\tAPPLIED\tAGE"}
	for _, g := range list {
		if g.Primary == "" {
			rows = append(rows, fmt.Sprintf("%s\t%d\t%s\tNO PRIMARY\t\t\t\t\t", g.Service, g.Term, recordedTerm(g)))
		}
		for _, t := range g.Targets {
			age := "unknown"
			if t.Staleness != nil {
				age = t.Staleness.String()
			}
			rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s", g.Service, g.Term, recordedTerm(g), t.ID, t.Role, targetState(t), t.Received, t.Applied, age))
		}
	}
	return table(rows...)
}

// recordedTerm is the term of the platform's record, which lags behind after a
// change of primary.
func recordedTerm(g admin.GroupStatus) string {
	if g.RecordedTerm == 0 {
		return "unknown"
	}
	return strconv.FormatUint(uint64(g.RecordedTerm), 10)
}

func targetState(t admin.TargetStatus) string {
	switch {
	case !t.Reachable:
		return "unreachable"
	case t.Leaving:
		return "leaving"
	default:
		return "reachable"
	}
}

// groupPromote changes a primary.
type groupPromote struct {
	Force      bool `long:"force" description:"promote although too few targets can be reached"`
	AcceptLoss bool `long:"accept-loss" description:"accept that acknowledged writes can be lost"`
	Args       struct {
		Service siskin.ServiceName `positional-arg-name:"SERVICE" required:"yes"`
		Target  siskin.TargetID    `positional-arg-name:"TARGET" required:"yes"`
	} `positional-args:"yes"`
}

// Run implements Runner.
func (g *groupPromote) Run(ctx context.Context, env *Env) (Output, error) {
	if g.Force != g.AcceptLoss {
		return Output{}, usageError("--force and --accept-loss go together")
	}
	env.Progress("changing the primary of %s to %s", g.Args.Service, g.Args.Target)
	var s admin.GroupStatus
	req := admin.PromoteRequest{Target: g.Args.Target, Force: g.Force, AcceptLoss: g.AcceptLoss}
	if err := env.post(ctx, "/groups/"+url.PathEscape(string(g.Args.Service))+"/promote", req, &s); err != nil {
		return Output{}, err
	}
	return Output{Value: s, Text: groupText([]admin.GroupStatus{s})}, nil
}
