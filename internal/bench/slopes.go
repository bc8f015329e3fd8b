package bench

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/godwitspread/godwitspread/internal/codec"
)

type slopesCommand struct {
	console *console
	Output  string `long:"output" default:"out" description:"directory for the report"`
	Page    string `long:"page" default:"docs/CAPACITY.md" description:"page whose measured block is replaced; empty for none"`
}

// slope is the cost of one item or operation, measured at several sizes.
type slope struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Sizes  []int     `json:"sizes"`
	Values []float64 `json:"values"`
}

// atLargestSize returns the value at the last size, which is the largest.
func (slope slope) atLargestSize() float64 { return slope.Values[len(slope.Values)-1] }

// measureSlope runs a measurement at each size.
func measureSlope(name, unit string, sizes []int, measure func(size int) float64) slope {
	slope := slope{Name: name, Unit: unit, Sizes: sizes}
	for _, size := range sizes {
		slope.Values = append(slope.Values, measure(size))
	}
	return slope
}

// heapPerItem returns the heap size in bytes of the value that build returns,
// divided by the number of items. The inputs stay reachable during the
// measurement, so that their memory does not count.
func heapPerItem(items int, build func() any, inputs ...any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	runtime.KeepAlive(inputs)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(items)
}

// cpuTime returns the CPU time that this process has used, or 0 if it is unknown.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuMicrosPerRun returns the mean CPU time of one run in microseconds. It is the
// lowest mean of three rounds, because other processes can only increase it.
func cpuMicrosPerRun(runs int, work func(run int)) float64 {
	best := 0.0
	for round := range 3 {
		started := cpuTime()
		for run := range runs {
			work(round*runs + run)
		}
		perRun := float64((cpuTime() - started).Microseconds()) / float64(runs)
		if round == 0 || perRun < best {
			best = perRun
		}
	}
	return best
}

func encodedSize(value any) float64 {
	data, err := codec.Marshal(value)
	if err != nil {
		panic(err) // the measured types always encode
	}
	return float64(len(data))
}

// Execute measures the slopes, writes the report, and replaces the measured block
// of the page.
func (command *slopesCommand) Execute([]string) error {
	slopes := append(ledgerSlopes(), ownerSlopes()...)
	slopes = append(slopes, hostSlopes()...)
	slopes = append(slopes, workspaceSlopes()...)
	slopes = append(slopes, targetSlopes()...)
	slopes = append(slopes, configurationSlopes()...)
	relay, err := relaySlope()
	if err != nil {
		return err
	}
	slopes = append(slopes, relay)
	if err := writeJSON(command.Output, "slopes.json", slopes); err != nil {
		return err
	}
	block := capacityTables(slopes)
	fmt.Fprint(command.console.stdout, block)
	if command.Page == "" {
		return nil
	}
	return replaceMeasuredBlock(command.Page, block)
}

type tokenEvent struct {
	Text string `msgpack:"text"`
}

const (
	blockStart = "<!-- measured: written by make slopes -->"
	blockEnd   = "<!-- end of measured -->"
)

// replaceMeasuredBlock replaces the text between the two markers of a page.
func replaceMeasuredBlock(path, block string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	before, rest, found := strings.Cut(string(data), blockStart)
	_, after, closed := strings.Cut(rest, blockEnd)
	if !found || !closed {
		return fmt.Errorf("page %s has no block between %q and %q", path, blockStart, blockEnd)
	}
	return os.WriteFile(path, []byte(before+blockStart+"\n"+block+blockEnd+after), 0o644)
}
