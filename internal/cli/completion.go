package cli

import (
	"fmt"
	"strings"
)

type completionCommand struct {
	client *client
	Args   struct {
		Shell string `positional-arg-name:"shell" required:"true" description:"bash, zsh or fish"`
	} `positional-args:"true" required:"true"`
}

// completionScripts are the completion scripts by shell. They run the executable
// itself to list the completions. PROGRAM is replaced by the name of the
// executable.
var completionScripts = map[string]string{
	"bash": `_PROGRAM() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _PROGRAM PROGRAM
`,
	"zsh": `autoload -U +X bashcompinit && bashcompinit
_PROGRAM() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _PROGRAM PROGRAM
`,
	"fish": `complete -c PROGRAM -a '(GO_FLAGS_COMPLETION=1 PROGRAM (commandline -cop)[2..] (commandline -ct))'
`,
}

// Execute prints the completion script for a shell.
func (command *completionCommand) Execute([]string) error {
	script, known := completionScripts[command.Args.Shell]
	if !known {
		return fmt.Errorf("shell is %q, expected bash, zsh or fish", command.Args.Shell)
	}
	_, err := fmt.Fprint(command.client.stdout, strings.ReplaceAll(script, "PROGRAM", "godwitspread"))
	return err
}
