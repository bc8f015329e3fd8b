// Package bench is the development program: stand-ins, a load tool, a
// demonstration and measurements.
package bench

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/godwitspread/godwitspread/internal/cli"
)

// tool is one run of the program.
type tool struct {
	stdout io.Writer
	stderr io.Writer
}

// Main runs the program and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	tool := &tool{stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("godwitspread-bench", flags.HelpFlag|flags.PassDoubleDash)
	version := false
	options := struct {
		Version func() `long:"version" description:"print the version and exit"`
	}{Version: func() { version = true }}
	if _, err := parser.AddGroup("Settings", "", &options); err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitFailed
	}
	commands := []struct {
		name    string
		summary string
		command any
	}{
		{"platform", "Serve a stand-in of the platform's log and host list", &platformCommand{tool: tool}},
		{"engine", "Serve a stand-in of a model engine", &engineCommand{tool: tool}},
		{"service", "Serve a stand-in of a plain service", &serviceCommand{tool: tool}},
		{"policies", "Measure order and placement on fake engines, in virtual time", &policiesCommand{tool: tool}},
		{"load", "Run programs against entry hosts on this machine", &loadCommand{tool: tool}},
		{"slopes", "Measure the slopes of the capacity page", &slopesCommand{tool: tool}},
		{"experiment", "Replay load patterns over policies of admission, in virtual time", &experimentCommand{tool: tool}},
		{"rates", "Measure how workspaces are counted, in virtual time", &ratesCommand{tool: tool}},
		{"day", "Run programs over entry hosts on the platform's protocol, on stand-ins", &dayCommand{tool: tool}},
		{"demo", "Run three hosts, kill an owner, and show that nothing was lost or doubled", &demoCommand{tool: tool}},
	}
	for _, each := range commands {
		if _, err := parser.AddCommand(each.name, each.summary, "", each.command); err != nil {
			fmt.Fprintln(stderr, err)
			return cli.ExitFailed
		}
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if version || command == nil {
			return nil
		}
		return command.Execute(rest)
	}
	_, err := parser.ParseArgs(arguments)
	if version {
		fmt.Fprintln(stdout, "godwitspread-bench", cli.Version)
		return cli.ExitDone
	}
	var problem *flags.Error
	if errors.As(err, &problem) {
		if problem.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, problem.Message)
			return cli.ExitDone
		}
		fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	if err != nil {
		fmt.Fprintln(stderr, "godwitspread-bench:", err)
		return cli.ExitFailed
	}
	return cli.ExitDone
}
