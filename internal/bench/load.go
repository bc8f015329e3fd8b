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
	tool     *tool
	Hosts    []string      `long:"host" required:"true" description:"URL of an entry host, may be repeated; 127.0.0.0/8 only"`
	Key      string        `long:"key" env:"GODWITSPREAD_KEY" required:"true" description:"key of the workspace to call for"`
	Shape    string        `long:"shape" default:"meeting" choice:"meeting" choice:"desk" description:"programs to run: short drafts with a filing, or conversations with stock checks"`
	Engine   string        `long:"engine" default:"draft" description:"service that generates text"`
	Once     string        `long:"once" default:"filing" description:"service whose calls may not be repeated; empty for none"`
	Programs int           `long:"programs" default:"50" description:"programs to run in all"`
	Callers  int           `long:"callers" default:"5" description:"programs that run at one time"`
	Bound    time.Duration `long:"bound" default:"2m" description:"bound of the whole run"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the programs"`
}

// loadShape is how the programs of a load look.
type loadShape struct {
	turns     [2]int
	words     [2]int
	tokens    int64
	pause     [2]time.Duration
	subAgents float64 // part of the programs with a sub-agent
}

var loadShapes = map[string]loadShape{
	"meeting": {turns: [2]int{3, 8}, words: [2]int{10, 60}, tokens: 64, pause: [2]time.Duration{50 * time.Millisecond, 400 * time.Millisecond}, subAgents: 0.3},
	"desk":    {turns: [2]int{6, 20}, words: [2]int{20, 200}, tokens: 128, pause: [2]time.Duration{20 * time.Millisecond, 800 * time.Millisecond}, subAgents: 0.1},
}

// loadResult collects what callers saw.
type loadResult struct {
	mutex    sync.Mutex
	programs *hdrhistogram.Histogram // ms without pauses
	first    *hdrhistogram.Histogram // ms to the first text
	calls    int
	refusals map[string]int
}

// Execute implements flags.Commander.
func (command *loadCommand) Execute([]string) error {
	for _, host := range command.Hosts {
		if !strings.HasPrefix(host, "http://127.") {
			return fmt.Errorf("host %q is not in 127.0.0.0/8", host)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), command.Bound)
	defer cancel()
	result := &loadResult{
		programs: hdrhistogram.New(1, latencyLimit, 3), first: hdrhistogram.New(1, latencyLimit, 3), refusals: make(map[string]int),
	}
	work := make(chan int)
	var callers sync.WaitGroup
	for range command.Callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for number := range work {
				command.program(ctx, number, result)
			}
		}()
	}
	for number := range command.Programs {
		work <- number
	}
	close(work)
	callers.Wait()
	command.print(result)
	return nil
}

// program runs one program from its opening to its end.
func (command *loadCommand) program(ctx context.Context, number int, result *loadResult) {
	shape := loadShapes[command.Shape]
	random := mathrand.New(mathrand.NewPCG(command.Seed, uint64(number)))
	caller := client.New(command.Key, command.Hosts...)
	id, err := caller.Open(ctx, client.OpenOptions{})
	if err != nil {
		result.note(err)
		return
	}
	var busy time.Duration
	turns := between(random, shape.turns)
	for turn := range turns {
		call := client.Call{
			ID: fmt.Sprint("t", turn), Service: command.Engine, Tokens: shape.tokens, Timeout: 30 * time.Second,
			Input: strings.Repeat("word ", between(random, shape.words)),
		}
		if turn == turns-1 && command.Once != "" {
			call.Service, call.Input = command.Once, `{"from":"load"}`
		}
		busy += command.call(ctx, caller, id, call, result)
		if turn == 0 && random.Float64() < shape.subAgents {
			if child, err := caller.Open(ctx, client.OpenOptions{Parent: id}); err == nil {
				call.ID = rand.Text()[:8]
				busy += command.call(ctx, caller, child, call, result)
			}
		}
		time.Sleep(shape.pause[0] + time.Duration(random.Int64N(int64(shape.pause[1]-shape.pause[0]))))
	}
	result.note(caller.End(ctx, id))
	result.mutex.Lock()
	defer result.mutex.Unlock()
	// Values are bounded by the length of a run.
	_ = result.programs.RecordValue(max(1, busy.Milliseconds()))
}

func (command *loadCommand) call(ctx context.Context, caller *client.Client, id string, call client.Call, result *loadResult) time.Duration {
	started := time.Now()
	var once sync.Once
	if call.Service == command.Engine {
		call.Each = func(string) {
			once.Do(func() {
				result.mutex.Lock()
				defer result.mutex.Unlock()
				_ = result.first.RecordValue(max(1, time.Since(started).Milliseconds()))
			})
		}
	}
	_, err := caller.Do(ctx, id, call)
	result.note(err)
	return time.Since(started)
}

// note counts a call and its refusal.
func (result *loadResult) note(err error) {
	result.mutex.Lock()
	defer result.mutex.Unlock()
	result.calls++
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
	command.tool.table([]string{"MEASURE", "COUNT", "P50 MS", "P95 MS", "P99 MS"}, [][]string{
		row("program without pauses", result.programs), row("first text", result.first),
	})
	codes := make([]string, 0, len(result.refusals))
	for code := range result.refusals {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	fmt.Fprintf(command.tool.stdout, "%d requests, %d kinds of refusal\n", result.calls, len(codes))
	for _, code := range codes {
		fmt.Fprintf(command.tool.stdout, "  %s %d\n", code, result.refusals[code])
	}
}
