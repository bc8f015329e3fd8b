// Command godwitspread-bench holds the stand-ins of the systems that daemons
// meet, and the tools that load and measure them. It is for development only.
package main

import (
	"os"

	"github.com/godwitspread/godwitspread/internal/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
