package bench

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/godwitspread/godwitspread/pkg/client"
)

type loadCommand struct {
	console       *console
	Hosts         []string      `long:"host" required:"true" description:"URL of an entry host, may be repeated; 127.0.0.0/8 only"`
	Key           string        `long:"key" env:"GODWITSPREAD_KEY" required:"true" description:"key of the workspace that sends the calls"`
	Shape         string        `long:"shape" default:"meeting" choice:"meeting" choice:"desk" description:"programs to run: short drafts with a filing (meeting), or conversations with stock checks (desk)"`
	Engine        string        `long:"engine" default:"draft" description:"service that generates text"`
	NonIdempotent string        `long:"once" default:"filing" description:"non-idempotent service for the last turn of each program; empty for none"`
	Programs      int           `long:"programs" default:"50" description:"total number of programs"`
	Callers       int           `long:"callers" default:"5" description:"number of programs that run at the same time"`
	Timeout       time.Duration `long:"bound" default:"2m" description:"timeout of the whole run"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the random numbers"`
}

// loadProfile describes the programs of a load. Each pair is the lowest and
// highest value of a uniform distribution.
type loadProfile struct {
	turns         [2]int
	words         [2]int           // in the input of a turn
	tokens        int64            // maximum output of a turn
	pause         [2]time.Duration // after each turn
	subAgentShare float64          // fraction of the programs that start a sub-agent
}

var loadProfiles = map[string]loadProfile{
	"meeting": {turns: [2]int{3, 8}, words: [2]int{10, 60}, tokens: 64, pause: [2]time.Duration{50 * time.Millisecond, 400 * time.Millisecond}, subAgentShare: 0.3},
	"desk":    {turns: [2]int{6, 20}, words: [2]int{20, 200}, tokens: 128, pause: [2]time.Duration{20 * time.Millisecond, 800 * time.Millisecond}, subAgentShare: 0.1},
}

// loadResult collects the latencies and refusals that callers observed.
type loadResult struct {
	mutex       sync.Mutex
	programTime *hdrhistogram.Histogram // in ms, without the pauses between turns
	firstText   *hdrhistogram.Histogram // in ms until the first text of a call
	requests    int
	refusals    map[string]int
}

// Execute runs the programs and prints the latencies and refusals.
func (command *loadCommand) Execute([]string) error {
	for _, host := range command.Hosts {
		if !strings.HasPrefix(host, "http://127.") {
			return fmt.Errorf("host %q is not in 127.0.0.0/8", host)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), command.Timeout)
	defer cancel()
	result := &loadResult{
		programTime: hdrhistogram.New(1, maxLatencyMS, 3), firstText: hdrhistogram.New(1, maxLatencyMS, 3), refusals: make(map[string]int),
	}
	numbers := make(chan int)
	var workers sync.WaitGroup
	for range command.Callers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for number := range numbers {
				command.runProgram(ctx, number, result)
			}
		}()
	}
	for number := range command.Programs {
		numbers <- number
	}
	close(numbers)
	workers.Wait()
	command.print(result)
	return nil
}

// runProgram opens a program, sends its calls and ends it.
func (command *loadCommand) runProgram(ctx context.Context, number int, result *loadResult) {
	profile := loadProfiles[command.Shape]
	random := mathrand.New(mathrand.NewPCG(command.Seed, uint64(number)))
	caller := client.New(command.Key, command.Hosts...)
	id, err := caller.Open(ctx, client.OpenOptions{})
	if err != nil {
		result.record(err)
		return
	}
	var busy time.Duration
	turns := between(random, profile.turns)
	for turn := range turns {
		call := client.Call{
			ID: fmt.Sprint("t", turn), Service: command.Engine, Tokens: profile.tokens, Timeout: 30 * time.Second,
			Input: strings.Repeat("word ", between(random, profile.words)),
		}
		if turn == turns-1 && command.NonIdempotent != "" {
			call.Service, call.Input = command.NonIdempotent, `{"from":"load"}`
		}
		busy += command.call(ctx, caller, id, call, result)
		if turn == 0 && random.Float64() < profile.subAgentShare {
			if child, err := caller.Open(ctx, client.OpenOptions{Parent: id}); err == nil {
				call.ID = rand.Text()[:8]
				busy += command.call(ctx, caller, child, call, result)
			}
		}
		time.Sleep(profile.pause[0] + time.Duration(random.Int64N(int64(profile.pause[1]-profile.pause[0]))))
	}
	result.record(caller.End(ctx, id))
	result.mutex.Lock()
	defer result.mutex.Unlock()
	// The error is ignored: no program lasts longer than the histogram's range.
	_ = result.programTime.RecordValue(max(1, busy.Milliseconds()))
}

func (command *loadCommand) call(ctx context.Context, caller *client.Client, id string, call client.Call, result *loadResult) time.Duration {
	started := time.Now()
	var once sync.Once
	if call.Service == command.Engine {
		call.Each = func(string) {
			once.Do(func() {
				result.mutex.Lock()
				defer result.mutex.Unlock()
				_ = result.firstText.RecordValue(max(1, time.Since(started).Milliseconds()))
			})
		}
	}
	_, err := caller.Do(ctx, id, call)
	result.record(err)
	return time.Since(started)
}

// record counts a request and the code of its refusal, if any.
func (result *loadResult) record(err error) {
	result.mutex.Lock()
	defer result.mutex.Unlock()
	result.requests++
	var refused *client.Error
	switch {
	case err == nil:
	case errors.As(err, &refused):
		result.refusals[refused.Code]++
	default:
		result.refusals["connection"]++
	}
}

func (command *loadCommand) print(result *loadResult) {
	row := func(name string, histogram *hdrhistogram.Histogram) []string {
		return []string{
			name, fmt.Sprint(histogram.TotalCount()), fmt.Sprint(histogram.ValueAtQuantile(50)),
			fmt.Sprint(histogram.ValueAtQuantile(95)), fmt.Sprint(histogram.ValueAtQuantile(99)),
		}
	}
	command.console.printTable([]string{"MEASURE", "COUNT", "P50 MS", "P95 MS", "P99 MS"}, [][]string{
		row("program without pauses", result.programTime), row("first text", result.firstText),
	})
	codes := make([]string, 0, len(result.refusals))
	for code := range result.refusals {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	fmt.Fprintf(command.console.stdout, "%d requests, %d kinds of refusal\n", result.requests, len(codes))
	for _, code := range codes {
		fmt.Fprintf(command.console.stdout, "  %s %d\n", code, result.refusals[code])
	}
}
