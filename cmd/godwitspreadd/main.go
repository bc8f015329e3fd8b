// Command godwitspreadd is the daemon that runs on each entry host.
package main

import (
	"os"

	"github.com/godwitspread/godwitspread/internal/cli"
)

func main() {
	os.Exit(cli.RunDaemon(os.Args[1:], os.Stdout, os.Stderr))
}
