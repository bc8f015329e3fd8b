package trial

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(record *record, trouble bool) (held bool, err error){
	"silent-store": silentStore,
	"poison":       poison,
	"quota-kill":   quotaKill,
	"sweep":        sweep,
	"tree":         tree,
}

// Exit codes of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// TestMain plays a case. It runs no tests: the cases are test files because they use the
// platform's names.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		os.Exit(couldNotRun)
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	held, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	case !held:
		record.printf("the rule was broken")
		os.Exit(ruleBroken)
	}
	record.printf("the rule held")
	os.Exit(ruleHeld)
}
