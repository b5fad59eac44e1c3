package cmds

import (
	"context"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Runner is one command. Its fields are options and arguments with the tags of
// go-flags.
type Runner interface {
	// Run runs the command. An output is also written when the error is not
	// nil, such as a measurement that broke a promise.
	Run(ctx context.Context, env *Env) (Output, error)
}

// Spec describes a command. Packages that provide commands such as "try",
// "bench" and "standin platform" pass a Spec to Main.
type Spec struct {
	Name  string        // words separated by spaces, such as "config apply"
	Short string        // one line for the list of commands
	Long  string        // help with examples
	New   func() Runner // returns a pointer to a struct
}

// parents describes the commands that only hold others.
var parents = map[string]string{
	"config":   "generate, check, compare and apply configuration",
	"key":      "grant, withdraw and list keys",
	"customer": "show customers",
	"group":    "show groups and change primaries",
	"logs":     "find causes in the logs of VMs",
	"vm":       "show VMs and stop them as planned",
	"report":   "show reports",
	"standin":  "run a stand-in of the platform or of a target",
}

func builtin() []Spec {
	return []Spec{
		{"ask", "ask the questionnaire", askHelp, func() Runner { return new(ask) }},
		{"config generate", "make a change out of answers", generateHelp, func() Runner { return new(configGenerate) }},
		{"config check", "check a change against the configuration in force", checkHelp, func() Runner { return new(configCheck) }},
		{"config diff", "show what a change does", diffHelp, func() Runner { return new(configDiff) }},
		{"config apply", "apply a change as a whole", applyHelp, func() Runner { return new(configApply) }},
		{"config status", "show the revision in force at each VM", "Example:\n  siskintray config status", func() Runner { return new(configStatus) }},
		{"config export", "write all documents, with the services' passwords", exportHelp, func() Runner { return new(configExport) }},
		{"key grant", "make a key and grant it to a customer", grantHelp, func() Runner { return new(keyGrant) }},
		{"key withdraw", "end a key for good", withdrawHelp, func() Runner { return new(keyWithdraw) }},
		{"key list", "list keys", "Example:\n  siskintray key list shop", func() Runner { return new(keyList) }},
		{"customer list", "list customers", "Example:\n  siskintray customer list", func() Runner { return new(customerList) }},
		{"customer show", "show one customer", "Example:\n  siskintray customer show shop", func() Runner { return new(customerShow) }},
		{"group status", "show groups and their targets", groupStatusHelp, func() Runner { return new(groupShow) }},
		{"group promote", "change the primary of a group", promoteHelp, func() Runner { return new(groupPromote) }},
		{"vm list", "list VMs", "Example:\n  siskintray vm list", func() Runner { return new(vmList) }},
		{"vm leave", "stop a VM as planned", leaveHelp, func() Runner { return new(vmLeave) }},
		{"status", "show the VM that --admin names", "Example:\n  siskintray status --admin 10.0.0.1:6480", func() Runner { return new(status) }},
		{"report burn", "show error budgets", burnHelp, func() Runner { return new(reportBurn) }},
		{"explain", "show where a statement would go now", explainHelp, func() Runner { return new(explainCommand) }},
		{"logs request", "show what led to the result of a request", logsRequestHelp, func() Runner { return new(logsRequest) }},
		{"logs causes", "count refusals and late answers by cause", logsCausesHelp, func() Runner { return new(logsCauses) }},
		{"version", "show the version", "Example:\n  siskintray version --json", func() Runner { return new(version) }},
		{"completion", "write a script for shell completion", completionHelp, func() Runner { return new(completion) }},
	}
}

// parser is the parser of one command line.
type parser struct {
	*flags.Parser
	runners   map[*flags.Command]Runner
	completed bool // shell completion was answered
}

func newParser(env *Env, specs []Spec) *parser {
	p := &parser{Parser: flags.NewNamedParser("siskintray", flags.HelpFlag|flags.PassDoubleDash), runners: map[*flags.Command]Runner{}}
	p.LongDescription = "siskintray is the operators' command line of siskintrayd. docs/CLI.md lists the exit codes."
	if _, err := p.AddGroup("Options of every command", "", &env.Options); err != nil {
		panic(err) // the tags of Options are wrong
	}
	p.CommandHandler = func(flags.Commander, []string) error { return nil }
	p.CompletionHandler = func(items []flags.Completion) {
		p.completed = true
		for _, item := range items {
			_, _ = env.Stdout.Write([]byte(item.Item + "\n")) // the shell went away
		}
	}
	for _, s := range specs {
		p.add(s)
	}
	return p
}

// add adds a command below its parent. A second command of the same name
// replaces nothing: it is a fault of the program.
func (p *parser) add(s Spec) {
	under := p.Command
	words := strings.Fields(s.Name)
	for _, word := range words[:len(words)-1] {
		next := under.Find(word)
		if next == nil {
			next = must(under.AddCommand(word, parents[word], "", &struct{}{}))
		}
		under = next
	}
	if under.Find(words[len(words)-1]) != nil {
		panic("command " + s.Name + " is registered twice")
	}
	r := s.New()
	p.runners[must(under.AddCommand(words[len(words)-1], s.Short, s.Long, r))] = r
}

func must(c *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err) // the tags of a command are wrong
	}
	return c
}

// active returns the command that the command line names.
func (p *parser) active() *flags.Command {
	c := p.Command
	for c.Active != nil {
		c = c.Active
	}
	return c
}
