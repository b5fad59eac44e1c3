package cmds

import "context"

const completionHelp = `Writes a script that completes commands and options. The shell asks siskintray
itself for the words.

Examples:
  siskintray completion bash > /etc/bash_completion.d/siskintray
  eval "$(siskintray completion zsh)"`

// completion writes a script for a shell.
type completion struct {
	Args struct {
		Shell string `positional-arg-name:"SHELL" required:"yes" description:"bash or zsh"`
	} `positional-args:"yes"`
}

const bashScript = `_siskintray() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _siskintray siskintray
`

// Run implements Runner.
func (c *completion) Run(context.Context, *Env) (Output, error) {
	script := bashScript
	switch c.Args.Shell {
	case "bash":
	case "zsh":
		script = "autoload -U +X bashcompinit && bashcompinit\n" + script
	default:
		return Output{}, usageError("no completion for shell %.64q; use bash or zsh", c.Args.Shell)
	}
	return Output{Value: struct{ Shell, Script string }{c.Args.Shell, script}, Text: script}, nil
}
