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

// console contains the output streams, which all commands share.
type console struct {
	stdout io.Writer
	stderr io.Writer
}

// Main runs the command given by the arguments and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	console := &console{stdout: stdout, stderr: stderr}
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
		{"platform", "Serve a stand-in of the platform's log and host list", &platformCommand{console: console}},
		{"engine", "Serve a stand-in of a model engine", &engineCommand{console: console}},
		{"service", "Serve a stand-in of a plain service", &serviceCommand{console: console}},
		{"policies", "Measure queue order and placement on simulated engines, in virtual time", &policiesCommand{console: console}},
		{"load", "Run programs against entry hosts on the local host", &loadCommand{console: console}},
		{"slopes", "Measure costs at several sizes for the capacity page", &slopesCommand{console: console}},
		{"experiment", "Replay load patterns under several admission policies, in virtual time", &experimentCommand{console: console}},
		{"rates", "Measure the rate limits of workspaces, in virtual time", &ratesCommand{console: console}},
		{"day", "Run programs through entry hosts that use the platform's protocol, against stand-ins", &dayCommand{console: console}},
		{"demo", "Run three hosts, kill the owner of a program, and verify that no call is lost or runs twice", &demoCommand{console: console}},
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
