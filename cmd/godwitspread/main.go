// Command godwitspread is the operators' client.
package main

import (
	"os"

	"github.com/godwitspread/godwitspread/internal/cli"
)

func main() {
	os.Exit(cli.Client(os.Args[1:], os.Stdout, os.Stderr))
}
