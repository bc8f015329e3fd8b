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

// completions are scripts that ask the program itself for what may follow. Each
// is for one program, whose name replaces PROGRAM.
var completions = map[string]string{
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

// Execute prints the script of a shell.
func (command *completionCommand) Execute([]string) error {
	script, known := completions[command.Args.Shell]
	if !known {
		return fmt.Errorf("shell is %q, expected bash, zsh or fish", command.Args.Shell)
	}
	_, err := fmt.Fprint(command.client.stdout, strings.ReplaceAll(script, "PROGRAM", "godwitspread"))
	return err
}
