package cmds

import (
	"context"
	"encoding/json"
	"fmt"

	"siskintray.example/siskin/internal/admin"
)

// get and post call the VM that --admin names.
func (e *Env) get(ctx context.Context, path string, v any) error {
	c, err := e.client()
	if err != nil {
		return err
	}
	return c.Get(ctx, path, v)
}

func (e *Env) post(ctx context.Context, path string, body, v any) error {
	c, err := e.client()
	if err != nil {
		return err
	}
	return c.Post(ctx, path, body, v)
}

// configStatus shows the revision in force at each VM.
type configStatus struct{}

// Run implements Runner.
func (*configStatus) Run(ctx context.Context, env *Env) (Output, error) {
	var s admin.ConfigStatus
	if err := env.get(ctx, "/config/status", &s); err != nil {
		return Output{}, err
	}
	rows := []string{"VM\tDATA CENTRE\tREVISION"}
	for _, vm := range s.VMs {
		revision := "not confirmed"
		if vm.Confirmed {
			revision = fmt.Sprint(vm.Revision)
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", vm.VM, vm.DataCentre, revision))
	}
	return Output{Value: s, Text: fmt.Sprintf("revision %d is in force at %s\n", s.Revision, env.Options.Admin) + table(rows...)}, nil
}

// configExport writes all documents.
type configExport struct {
	Output string `long:"output" value-name:"FILE" description:"write to this new file"`
}

// Run implements Runner.
func (c *configExport) Run(ctx context.Context, env *Env) (Output, error) {
	var data []byte
	if err := env.get(ctx, "/config/export", &data); err != nil {
		return Output{}, err
	}
	if c.Output == "" {
		return Output{Value: json.RawMessage(data), Text: string(data)}, nil
	}
	out := Output{Value: struct{ Output string }{c.Output}, Text: c.Output + " is written; it holds passwords\n"}
	return out, writeFile(c.Output, data)
}
