// Package cli implements the command lines of the daemon and of the operators'
// client.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the daemon and of the client.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3 // another change to the same version was accepted first
	ExitInvalid  = 4 // the configuration file is invalid

	ExitUnreachable = 5 // the host does not respond
	ExitNoRoute     = 6 // no route leads to the path
	ExitUnreadable  = 7 // the file has no request that can be read
)

// Version is the version of the executable, set by the linker.
var Version = "development"

// reportUsage prints the requested help or a command-line error, and returns the
// exit code.
func reportUsage(err error, stdout, stderr io.Writer) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagsError.Message)
		return ExitOK
	}
	fmt.Fprintln(stderr, err)
	return ExitUsage
}
