package cmds

import (
	"cmp"
	"context"
	"fmt"
	"net/url"
	"strings"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/explain"
)

const explainHelp = `Tells where a VM of --protocol session would send a statement of a customer now,
and why. KIND is read, write, transaction or readonly (a read-only transaction).
The VM sends nothing to a target and changes nothing.

Example:
  siskintray explain --vm 10.1.0.26:7560 client-12 orders read`

// explainCommand shows where a statement would go.
type explainCommand struct {
	VM   string `long:"vm" required:"yes" value-name:"ADDRESS" description:"Metrics.Address of the VM"`
	Args struct {
		Customer siskin.CustomerID `positional-arg-name:"CUSTOMER" required:"yes"`
		Database string            `positional-arg-name:"DATABASE" required:"yes"`
		Kind     explain.Kind      `positional-arg-name:"KIND" required:"yes"`
	} `positional-args:"yes"`
}

// Run implements Runner.
func (c *explainCommand) Run(ctx context.Context, _ *Env) (Output, error) {
	query := url.Values{"Customer": {string(c.Args.Customer)}, "Database": {c.Args.Database}, "Kind": {strings.ToLower(string(c.Args.Kind))}}
	var x explain.Explanation
	err := admin.NewClient(c.VM, nil).Get(ctx, explain.Path+"?"+query.Encode(), &x)
	if siskin.KindOf(err) == siskin.Unavailable && x.VM == "" {
		return Output{}, siskin.NewError(siskin.Unavailable, "VM at %s gave no explanation", c.VM).WithCause(err).
			WithRemedy("check --vm, which is a VM's Metrics.Address, or ask another VM")
	}
	if err != nil {
		return Output{}, err
	}
	return Output{Value: x, Text: explainText(&x)}, nil
}

func explainText(x *explain.Explanation) string {
	primary := "none is known"
	if x.Primary != "" {
		primary = fmt.Sprintf("%s, proven %v ago", x.Primary, x.ProofAge.Std().Round(1e6))
	}
	rows := []string{
		fmt.Sprintf("result\t%s", cmp.Or(string(x.Target), "refused")),
		"reason\t" + x.Reason,
		fmt.Sprintf("VM\t%s, revision %d", x.VM, x.Revision),
		fmt.Sprintf("route\t%s to %s, priority class %d, timeout %v, objective %v", x.Route, x.Service, x.Class, x.Timeout, x.Objective),
		fmt.Sprintf("rate\t%v requests a second in all, burst %v; not checked", x.Rate, x.Burst),
		"primary\t" + primary,
	}
	if x.Floor != "" {
		rows = append(rows, fmt.Sprintf("floor\t%s, recent enough for %v", x.Floor, x.FloorValid.Std().Round(1e6)))
	}
	text := table(rows...)
	rows = []string{"\nTARGET\tDATA CENTRE\tHOME\tLOAD\tRUNNING HERE\tEXPECTED\tSAMPLES\tLIMIT\tFACTOR\tCOST\tNOTES"}
	for i := range x.Targets {
		rows = append(rows, explainRow(&x.Targets[i]))
	}
	return text + table(rows...)
}

func explainRow(t *explain.Target) string {
	expected, limit, notes := "-", "-", strings.Join(t.Notes, ", ")
	if t.Samples > 0 {
		expected = t.Expected.Std().Round(1e5).String()
	}
	if t.Limit > 0 {
		limit = fmt.Sprint(t.Limit)
	}
	factor, cost := fmt.Sprintf("%.2f", t.Factor), fmt.Sprintf("%.2f", t.Cost)
	if t.Excluded != "" {
		factor, cost, notes = "-", "-", strings.TrimSuffix("excluded: "+t.Excluded+", "+notes, ", ")
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%s\t%d\t%s\t%s\t%s\t%s",
		t.ID, t.DataCentre, cmp.Or(t.Home, "-"), t.Load, t.Running, expected, t.Samples, limit, factor, cost, notes)
}
