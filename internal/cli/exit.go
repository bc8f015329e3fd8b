// Package cli is the command line of the programs.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3 // another change won
	ExitFaulty   = 4 // the text has problems
)

// Version is set by the linker.
var Version = "development"

// usage reports a bad command line, or the help that was asked for.
func usage(err error, stdout, stderr io.Writer) int {
	var problem *flags.Error
	if errors.As(err, &problem) && problem.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, problem.Message)
		return ExitDone
	}
	fmt.Fprintln(stderr, err)
	return ExitUsage
}
