// Command godwitspread is the command line client for operators.
package main

import (
	"os"

	"github.com/godwitspread/godwitspread/internal/cli"
)

func main() {
	os.Exit(cli.RunClient(os.Args[1:], os.Stdout, os.Stderr))
}
