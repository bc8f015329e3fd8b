package bench

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/gateway"
	"github.com/godwitspread/godwitspread/platform"
	"github.com/godwitspread/godwitspread/platform/standin"
)

type dayCommand struct {
	tool     *tool
	Hosts    int           `long:"hosts" default:"4" description:"entry hosts, in up to three data centres"`
	Programs int           `long:"programs" default:"20" description:"programs under way at one time"`
	For      time.Duration `long:"for" default:"6s" description:"how long programs begin"`
	Kill     bool          `long:"kill" description:"kill a host in the middle and take the store from another"`
}

const (
	dayTurns       = 5
	dayTargets     = 4
	dayEvents      = 4
	dayWork        = 5 * time.Millisecond
	dayTries       = 6 // of a refused turn
	dayPause       = 200 * time.Millisecond
	dayMostLatency = time.Minute
)

// day is programs that run over entry hosts on the platform's protocol.
type day struct {
	deployment *standin.Deployment
	hosts      []*gateway.Gateway
	addresses  []string
	serial     atomic.Int64

	mutex     sync.Mutex
	latencies map[string]*hdrhistogram.Histogram // microseconds by what was measured
	counts    map[string]int
}

// Execute implements flags.Commander.
func (command *dayCommand) Execute([]string) error {
	deployment, err := standin.NewDeployment(dayTargets, dayEvents, dayWork)
	if err != nil {
		return err
	}
	defer deployment.Close()
	day := &day{deployment: deployment, latencies: make(map[string]*hdrhistogram.Histogram), counts: make(map[string]int)}
	for number := range command.Hosts {
		if err := day.start(number); err != nil {
			return err
		}
	}
	defer func() {
		for _, host := range day.hosts {
			host.Kill()
		}
	}()
	if err := day.settle(5 * time.Second); err != nil {
		return err
	}
	day.play(command)
	day.print(command.tool)
	return day.verify()
}

func (day *day) start(number int) error {
	name := fmt.Sprintf("host-%d", number+1)
	storeAddress, err := day.deployment.ServeStore(name)
	if err != nil {
		return err
	}
	ip := fmt.Sprintf("127.90.0.%d", number+1)
	host := gateway.New(platform.Settings{
		Host: name, DataCentre: fmt.Sprintf("dc-%d", number%3+1), IP: ip, CallerAddress: ip + ":7001", ReadyAddress: ip + ":7002",
		PeerPort: 7004, MetricsPort: 7005, MemoryBytes: 128 << 20, FileDescriptors: 4000, PeerSecret: "a secret of many characters",
		Store:  platform.StoreSettings{Address: storeAddress, Partitions: 8},
		Bounds: platform.Bounds{Grace: 3 * time.Second, Configuration: 2 * time.Second, QuotaWindow: 5 * time.Second},
	}, clockwork.NewRealClock(), &log.Logger{Handler: discard.Default})
	if err := host.Start(context.Background()); err != nil {
		return err
	}
	day.hosts = append(day.hosts, host)
	day.addresses = append(day.addresses, ip+":7001")
	return nil
}

func (day *day) settle(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		settled := true
		for _, host := range day.hosts {
			status := host.Status()
			settled = settled && status.Ready && len(status.Peers) == len(day.hosts)-1
		}
		if settled {
			return nil
		}
	}
	return fmt.Errorf("hosts did not find each other within %v", limit)
}

func (day *day) play(command *dayCommand) {
	end := time.Now().Add(command.For)
	var programs sync.WaitGroup
	for range command.Programs {
		programs.Go(func() {
			for time.Now().Before(end) {
				day.program()
			}
		})
	}
	if command.Kill {
		time.Sleep(command.For / 3)
		day.hosts[0].Kill()
		day.deployment.Store.SetFault(func(_, from string) standin.Fault {
			if from == "host-2" {
				return standin.NoResponse
			}
			return standin.Healthy
		})
	}
	programs.Wait()
}

// program runs turns that continue each other, each through the next host, with
// a call of a tool after each.
func (day *day) program() {
	id := fmt.Sprintf("p%d", day.serial.Add(1))
	begun := time.Now()
	previous := ""
	for turn := range dayTurns {
		response, ok := day.insist(turn, standin.CallerRequest{
			Path: "/dialogue/x", Body: fmt.Sprintf("turn %d of %s;", turn, id), Program: id, Previous: previous, Budget: 5000, Tokens: 100,
		})
		if !ok {
			day.count("programs failed")
			return
		}
		previous = response.Attempt
		day.measure("turn", response.Duration)
		if response, ok = day.insist(turn+1, standin.CallerRequest{Path: "/lookup/x", Program: id}); ok {
			day.measure("tool call", response.Duration)
		}
	}
	day.measure("program", time.Since(begun))
	day.count("programs ended")
}

// insist sends a request until it is served, each time to another host.
func (day *day) insist(first int, request standin.CallerRequest) (standin.CallerResponse, bool) {
	request.HostName, request.Key = standin.DeploymentHost, standin.DeploymentKey
	for try := range dayTries {
		request.Attempt = fmt.Sprintf("%s-a%d", request.Program, day.serial.Add(1))
		response := standin.Send(day.addresses[(first+try)%len(day.addresses)], request)
		if response.Err == nil && response.Status == 200 {
			return response, true
		}
		day.count(fmt.Sprintf("tries that ended with status %d", response.Status))
		time.Sleep(dayPause)
	}
	return standin.CallerResponse{}, false
}

func (day *day) measure(name string, took time.Duration) {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	histogram, ok := day.latencies[name]
	if !ok {
		histogram = hdrhistogram.New(1, dayMostLatency.Microseconds(), 3)
		day.latencies[name] = histogram
	}
	// Longer values than the histogram holds do not occur: requests have limits.
	_ = histogram.RecordValue(took.Microseconds())
}

func (day *day) count(name string) {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	day.counts[name]++
}

func (day *day) print(tool *tool) {
	table := tabwriter.NewWriter(tool.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "latency\tcount\tp50 ms\tp99 ms\tmax ms")
	for _, name := range []string{"turn", "tool call", "program"} {
		if histogram, ok := day.latencies[name]; ok {
			fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f\t%.1f\n", name, histogram.TotalCount(),
				float64(histogram.ValueAtQuantile(50))/1e3, float64(histogram.ValueAtQuantile(99))/1e3, float64(histogram.Max())/1e3)
		}
	}
	names := make([]string, 0, len(day.counts))
	for name := range day.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(table, "%s\t%d\n", name, day.counts[name])
	}
	fmt.Fprintf(table, "calls of the store\t%d\n", day.deployment.Store.Calls())
	// The output is a terminal or a file; a failure to write shows there.
	_ = table.Flush()
}

// verify checks what the targets saw.
func (day *day) verify() error {
	seen := make(map[string]int)
	for _, engine := range day.deployment.Engines {
		for _, run := range engine.Runs() {
			seen[run.Attempt]++
			if run.Workspace != "council" {
				return fmt.Errorf("attempt %q ran for workspace %q", run.Attempt, run.Workspace)
			}
		}
	}
	for attempt, runs := range seen {
		if runs > 1 {
			return fmt.Errorf("attempt %q ran %d times", attempt, runs)
		}
	}
	if day.counts["programs ended"] == 0 {
		return fmt.Errorf("no program ended")
	}
	return nil
}
