package cmds

import (
	"context"
	"fmt"
	"net/url"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
)

const leaveHelp = `Starts the planned stop of a VM: it finishes running requests up to Stop.Deadline,
hands over its part and exits. The command returns when the stop is announced.

Example:
  siskintray vm leave vm-3`

// vmList lists VMs.
type vmList struct{}

// Run implements Runner.
func (*vmList) Run(ctx context.Context, env *Env) (Output, error) {
	var list []admin.VMStatus
	if err := env.get(ctx, "/vms", &list); err != nil {
		return Output{}, err
	}
	rows := []string{"VM\tINCARNATION\tDATA CENTRE\tPEER ADDRESS\tSTATE"}
	for _, vm := range list {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s\t%s", vm.ID, vm.Incarnation, vm.DataCentre, vm.PeerAddress, vm.State))
	}
	return Output{Value: list, Text: table(rows...)}, nil
}

// vmLeave stops a VM.
type vmLeave struct {
	Args struct {
		VM siskin.VMID `positional-arg-name:"VM" required:"yes"`
	} `positional-args:"yes"`
}

// Run implements Runner.
func (v *vmLeave) Run(ctx context.Context, env *Env) (Output, error) {
	var result struct{ VM siskin.VMID }
	if err := env.post(ctx, "/vms/"+url.PathEscape(string(v.Args.VM))+"/leave", struct{}{}, &result); err != nil {
		return Output{}, err
	}
	return Output{Value: result, Text: fmt.Sprintf("%s is leaving; see siskintray vm list\n", result.VM)}, nil
}

// status shows one VM.
type status struct{}

// Run implements Runner.
func (*status) Run(ctx context.Context, env *Env) (Output, error) {
	var s admin.Status
	if err := env.get(ctx, "/status", &s); err != nil {
		return Output{}, err
	}
	var violations map[string]int64
	if err := env.get(ctx, "/invariants", &violations); err != nil {
		return Output{}, err
	}
	broken := int64(0)
	for _, n := range violations {
		broken += n
	}
	platform := "reachable"
	if !s.PlatformReachable {
		platform = "NOT REACHABLE"
	}
	return Output{
		Value: struct {
			admin.Status
			Violations map[string]int64
		}{s, violations},
		Text: table(
			fmt.Sprintf("VM\t%s, incarnation %d, %s in %s", s.VM, s.Incarnation, s.State, s.DataCentre),
			fmt.Sprintf("version\t%s, started %s", s.Version, s.Started.Format("2006-01-02 15:04:05 MST")),
			fmt.Sprintf("revision\t%d", s.Revision),
			fmt.Sprintf("callers\t%d connected, %d transactions running", s.Callers, s.Running),
			fmt.Sprintf("slots owned\t%d", s.Homes),
			fmt.Sprintf("fleet\t%d live VMs", s.LiveVMs),
			"platform\t"+platform,
			fmt.Sprintf("violations\t%d of invariants", broken),
		),
	}, nil
}
