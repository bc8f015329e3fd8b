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
	tool   *tool
	Output string `long:"output" default:"out" description:"folder for the report"`
	Page   string `long:"page" default:"docs/CAPACITY.md" description:"page whose measured block is written anew; empty for none"`
}

// slope is one measured cost at several sizes.
type slope struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Sizes  []int     `json:"sizes"`
	Values []float64 `json:"values"`
}

// last returns the value at the largest size.
func (slope slope) last() float64 { return slope.Values[len(slope.Values)-1] }

// measureAll runs a measurement at each size.
func measureAll(name, unit string, sizes []int, measure func(size int) float64) slope {
	slope := slope{Name: name, Unit: unit, Sizes: sizes}
	for _, size := range sizes {
		slope.Values = append(slope.Values, measure(size))
	}
	return slope
}

// heapOf returns the bytes of heap that a value keeps, for each of a number of
// items.
func heapOf(items int, build func() any, inputs ...any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	runtime.KeepAlive(inputs)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(items)
}

// processor returns the processor time of this process.
func processor() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// microsOf returns the processor time of one of many runs, in microseconds. It
// is the least of three rounds, because other work on the machine only adds.
func microsOf(runs int, work func(run int)) float64 {
	best := 0.0
	for round := range 3 {
		started := processor()
		for run := range runs {
			work(round*runs + run)
		}
		each := float64((processor() - started).Microseconds()) / float64(runs)
		if round == 0 || each < best {
			best = each
		}
	}
	return best
}

func sizeOf(value any) float64 {
	data, err := codec.Marshal(value)
	if err != nil {
		panic(err) // values of this program always encode
	}
	return float64(len(data))
}

// Execute implements flags.Commander.
func (command *slopesCommand) Execute([]string) error {
	slopes := append(ledgerSlopes(), programSlopes()...)
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
	block := capacityBlock(slopes)
	fmt.Fprint(command.tool.stdout, block)
	if command.Page == "" {
		return nil
	}
	return rewriteBlock(command.Page, block)
}

type tokenEvent struct {
	Text string `msgpack:"text"`
}

const (
	blockStart = "<!-- measured: written by make slopes -->"
	blockEnd   = "<!-- end of measured -->"
)

// rewriteBlock replaces the measured part of a page.
func rewriteBlock(path, block string) error {
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
