package cmds

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/trail"
)

const logsRequestHelp = `Shows what the VMs logged about one request, and around it about its target, its
service, its customer and its VMs. Name the logs of all VMs; a line without the
name of a VM before it belongs to the VM after which its file is called.

Example:
  siskintray logs request 81cad23369195cfd vm-*.log`

const logsCausesHelp = `Counts the requests of --protocol session that were not served by cause, and with
--late also successes that took longer: by the largest part of their time, in the
queue of a target, at the target, or on the way.

Example:
  siskintray logs causes --late 200ms vm-*.log`

func readLogs(paths []string) ([]trail.Line, error) {
	var lines []trail.Line
	for _, path := range paths {
		data, err := readFile(path)
		if err != nil {
			return nil, err
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		more, err := trail.Read(bytes.NewReader(data), siskin.VMID(name))
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// logsRequest shows the story of one request.
type logsRequest struct {
	Args struct {
		ID   string   `positional-arg-name:"ID" required:"yes"`
		Logs []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"yes"`
}

// Run implements Runner.
func (l *logsRequest) Run(context.Context, *Env) (Output, error) {
	lines, err := readLogs(l.Args.Logs)
	if err != nil {
		return Output{}, err
	}
	story := trail.Timeline(lines, l.Args.ID)
	if len(story) == 0 {
		return Output{}, siskin.NewError(siskin.BadInput, "no line has the request id %s", l.Args.ID).
			WithRemedy("name the logs of all VMs, or look at Suppressed: not every request has a line")
	}
	var b strings.Builder
	for _, line := range story {
		fmt.Fprintf(&b, "%s %s %s\n", line.Time.Format("15:04:05.000"), line.VM, line.Text)
	}
	return Output{Value: story, Text: b.String()}, nil
}

// logsCauses counts refusals and late answers by cause.
type logsCauses struct {
	Late time.Duration `long:"late" value-name:"DURATION" description:"count successes that took longer as well"`
	Args struct {
		Logs []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"yes"`
}

// Run implements Runner.
func (l *logsCauses) Run(context.Context, *Env) (Output, error) {
	lines, err := readLogs(l.Args.Logs)
	if err != nil {
		return Output{}, err
	}
	r := trail.Causes(lines, l.Late)
	rows := []string{"CODE\tREASON\tREQUESTS\tVMS\tCUSTOMERS\tFIRST\tLAST\tLONGEST"}
	for _, c := range r.Causes {
		code := c.Code
		if c.Late {
			code += " (late)"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%s\t%s\t%v", code, c.Reason, c.Count, c.VMs, c.Customers,
			c.First.Format("15:04:05.000"), c.Last.Format("15:04:05.000"), c.Longest.Round(time.Millisecond)))
	}
	return Output{Value: r, Text: table(rows...) + fmt.Sprintf("%d requests logged, %d not\n", r.Requests, r.NotLogged)}, nil
}
