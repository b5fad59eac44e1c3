package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/pkg/burn"
)

const burnHelp = `Shows error budgets, burn rates and alerts. docs/BURN.md explains them. Counts do
not survive a restart of a VM; save records to keep them and name the files to
merge them. Records state the objectives of their services; --base takes those of
an export instead.

Examples:
  siskintray report burn
  siskintray report burn --fleet --html burn.html
  siskintray report burn --save vm-1.json
  siskintray report burn vm-1.json vm-2.json
  siskintray report burn vm-1.json --base export.json`

// reportBurn shows error budgets.
type reportBurn struct {
	Fleet bool   `long:"fleet" description:"ask all VMs that can be reached"`
	HTML  string `long:"html" value-name:"FILE" description:"write a page with plots to this new file"`
	Save  string `long:"save" value-name:"FILE" description:"write the record to this new file"`
	Base  string `long:"base" value-name:"FILE" description:"take the objectives from this export"`
	Args  struct {
		Records []string `positional-arg-name:"RECORD"`
	} `positional-args:"yes"`
}

// Run implements Runner.
func (r *reportBurn) Run(ctx context.Context, env *Env) (Output, error) {
	client, err := env.client()
	if err != nil {
		return Output{}, err
	}
	query := ""
	if r.Fleet {
		query = "?Fleet=yes"
	}
	objectives, err := r.objectives(ctx, env)
	if err != nil {
		return Output{}, err
	}
	var rep burn.Report
	switch {
	case r.Base != "" && len(r.Args.Records) == 0 && r.Save == "":
		return Output{}, usageError("--base goes with records from files or with --save")
	case len(r.Args.Records) > 0 && (r.Fleet || r.Save != ""):
		return Output{}, usageError("records from files exclude --fleet and --save")
	case len(r.Args.Records) > 0:
		rep, err = mergeFiles(r.Args.Records, objectives)
	case r.Save != "":
		if rep, err = r.save(ctx, client, query, objectives); err == nil {
			break
		}
		return Output{}, err
	default:
		err = client.Get(ctx, "/burn"+query, &rep)
	}
	if err != nil {
		return Output{}, err
	}
	if r.HTML != "" {
		var page bytes.Buffer
		if err := rep.WriteHTML(&page); err != nil {
			return Output{}, err
		}
		if err := writeFile(r.HTML, page.Bytes()); err != nil {
			return Output{}, err
		}
	}
	var text strings.Builder
	_ = rep.WriteText(&text) // a builder does not fail
	return Output{Value: rep, Text: text.String()}, nil
}

// objectives are those of each service; nil means that the record states them.
type objectives = func(siskin.ServiceName) burn.Objectives

// objectives returns those of the export that --base names.
func (r *reportBurn) objectives(ctx context.Context, env *Env) (objectives, error) {
	if r.Base == "" {
		return nil, nil
	}
	b := base{Base: r.Base}
	view, err := b.view(ctx, env)
	if err != nil {
		return nil, err
	}
	return burn.FromConfig(view), nil
}

// save writes the record of the VM to a file and evaluates it.
func (r *reportBurn) save(ctx context.Context, c *admin.Client, query string, of objectives) (burn.Report, error) {
	var data []byte
	if err := c.Get(ctx, "/burn/record"+query, &data); err != nil {
		return burn.Report{}, err
	}
	var rec burn.Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return burn.Report{}, malformedRecord("the VM's answer", err)
	}
	return burn.Evaluate(rec, of), writeFile(r.Save, data)
}

func mergeFiles(paths []string, of objectives) (burn.Report, error) {
	var records []burn.Record
	for _, path := range paths {
		data, err := readFile(path)
		if err != nil {
			return burn.Report{}, err
		}
		var rec burn.Record
		if err := json.Unmarshal(data, &rec); err != nil {
			return burn.Report{}, malformedRecord(path, err)
		}
		records = append(records, rec)
	}
	merged, err := burn.Merge(records...)
	if err != nil {
		return burn.Report{}, err
	}
	return burn.Evaluate(merged, of), nil
}

func malformedRecord(name string, err error) error {
	return siskin.NewError(siskin.BadInput, "%s is not a record", name).WithCause(err).WithRemedy("write one with siskintray report burn --save FILE")
}
