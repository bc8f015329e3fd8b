// Package check contains the cases of the independent review. Each test starts the
// daemons of the deploy file as separate processes, with stand-ins for the store, the
// workers and the requesters, and checks one rule from what these have seen.
package check

import (
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

// unable is set if the case could not run.
var unable atomic.Bool

func TestMain(m *testing.M) {
	time.AfterFunc(caseTimeout, func() {
		fmt.Fprintln(os.Stderr, "the case did not end in time")
		stopAll()
		os.Exit(exitUnable)
	})
	code := m.Run()
	stopAll()
	switch {
	case unable.Load():
		code = exitUnable
	case code != 0:
		code = exitBroken
	}
	os.Exit(code)
}

// trouble reports whether the case includes its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// giveUp ends a case that cannot run.
func giveUp(t *testing.T, err error) {
	t.Helper()
	unable.Store(true)
	t.Fatalf("cannot run: %v", err)
}
