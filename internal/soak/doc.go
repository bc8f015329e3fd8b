// Package soak contains tests that start the daemon as processes of their own, load them
// with what callers and targets may send, and watch their memory as the platform does.
package soak
