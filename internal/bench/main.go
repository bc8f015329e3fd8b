// Package bench implements the development tool godwitspread-bench: stand-ins of
// external systems, a load generator, a demonstration and measurements.
package bench

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/godwitspread/godwitspread/internal/cli"
)

// tool is the output shared by all commands.
type tool struct {
	stdout io.Writer
	stderr io.Writer
}

// Main runs the command given by the arguments and returns the exit code.
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
		{"policies", "Measure queue order and placement on simulated engines, in virtual time", &policiesCommand{tool: tool}},
		{"load", "Run programs against entry hosts on the local host", &loadCommand{tool: tool}},
		{"slopes", "Measure costs at several sizes for the capacity page", &slopesCommand{tool: tool}},
		{"experiment", "Replay load patterns under several admission policies, in virtual time", &experimentCommand{tool: tool}},
		{"rates", "Measure the rate limits of workspaces, in virtual time", &ratesCommand{tool: tool}},
		{"day", "Run programs through entry hosts that use the platform's protocol, against stand-ins", &dayCommand{tool: tool}},
		{"demo", "Run three hosts, kill the owner of a program, and verify that no call is lost or runs twice", &demoCommand{tool: tool}},
	}
	for _, entry := range commands {
		if _, err := parser.AddCommand(entry.name, entry.summary, "", entry.command); err != nil {
			fmt.Fprintln(stderr, err)
			return cli.ExitFailed
		}
	}
	parser.CommandHandler = func(command flags.Commander, remaining []string) error {
		if version || command == nil {
			return nil
		}
		return command.Execute(remaining)
	}
	_, err := parser.ParseArgs(arguments)
	if version {
		fmt.Fprintln(stdout, "godwitspread-bench", cli.Version)
		return cli.ExitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, flagError.Message)
			return cli.ExitOK
		}
		fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	if err != nil {
		fmt.Fprintln(stderr, "godwitspread-bench:", err)
		return cli.ExitFailed
	}
	return cli.ExitOK
}
