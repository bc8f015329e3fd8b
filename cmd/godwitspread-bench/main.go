// Command godwitspread-bench runs stand-ins for the systems that the daemon depends
// on, load generators and benchmarks. It is for development only.
package main

import (
	"os"

	"github.com/godwitspread/godwitspread/internal/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
