package bench

import (
	"fmt"
	"strings"
)

// fleetSize is a size to work out the capacity for.
type fleetSize struct {
	name       string
	hosts      float64
	places     float64 // data centres
	requests   float64 // a second
	programs   float64
	workspaces float64
	targets    float64
	services   float64
	tokens     float64 // generated a second
	changes    float64 // of configuration a day
	turns      float64 // of a mean program
	once       float64 // part of the requests that are non-idempotent
}

var (
	sizeToday = fleetSize{"today", 11, 3, 100, 400, 8, 25, 4, 2000, 20, 20, 0.1}
	sizeLater = fleetSize{"two years", 370, 9, 7000, 130_000, 7600, 850, 6, 2_800_000, 1900, 55, 0.1}
)

const (
	beatsPerSecond   = 2.0
	ticksPerSecond   = 20.0
	claimsPerSecond  = 5.0 // choices of slots
	appendsPerSecond = 25.0
	mergesPerSecond  = 10.0
	mergeHosts       = 8
	relays           = 2.0
	secondsPerDay    = 86_400.0
)

// roleLine is the cost of one role on one daemon.
type roleLine struct {
	role      string
	memory    float64 // bytes
	bytes     float64 // a second, sent and received
	processor float64 // part of a core
}

// capacityBlock prints the slopes and the table that follows from them.
func capacityBlock(slopes []slope) string {
	var block strings.Builder
	block.WriteString("| slope | unit | sizes | values |\n| --- | --- | --- | --- |\n")
	byName := make(map[string]slope)
	for _, slope := range slopes {
		byName[slope.Name] = slope
		values := make([]string, len(slope.Values))
		for index, value := range slope.Values {
			values[index] = fmt.Sprintf("%.3g", value)
		}
		fmt.Fprintf(&block, "| %s | %s | %s | %s |\n", slope.Name, slope.Unit,
			strings.Trim(fmt.Sprint(slope.Sizes), "[]"), strings.Join(values, " "))
	}
	for _, size := range []fleetSize{sizeToday, sizeLater} {
		fmt.Fprintf(&block, "\nControl of one daemon, %s (%.0f hosts, %.0f requests/s, %.0f programs, %.0f workspaces):\n\n", size.name, size.hosts, size.requests, size.programs, size.workspaces)
		block.WriteString("| role | memory MB | KB/s | % of a core |\n| --- | --- | --- | --- |\n")
		var sum roleLine
		for _, line := range size.roles(byName) {
			fmt.Fprintf(&block, "| %s | %.2f | %.2f | %.3f |\n", line.role, line.memory/1e6, line.bytes/1e3, line.processor*100)
			sum.memory += line.memory
			sum.bytes += line.bytes
			sum.processor += line.processor
		}
		fmt.Fprintf(&block, "| **sum** (limits 128, 30, 1.1) | %.2f | %.2f | %.3f |\n", sum.memory/1e6, sum.bytes/1e3, sum.processor*100)
		fmt.Fprintf(&block, "\nAppends of the fleet, %s: at most %.0f a second (limit: several hundred).\n", size.name, size.appends())
		token := byName["relay: processor of a token, both ends of a hop"].last()
		fmt.Fprintf(&block, "Relayed tokens, %s: %.0f a second on each daemon, %.2f%% of a core with two hops.\n",
			size.name, size.tokens/size.hosts, size.tokens/size.hosts*token*2/1e6*100)
	}
	return block.String()
}

// appends returns the most appends a second that the fleet makes. From a number
// of hosts in a data centre on, one of them merges the appends of a stream.
func (size fleetSize) appends() float64 {
	if size.hosts/size.places >= mergeHosts {
		return size.places * 2 * mergesPerSecond
	}
	return size.hosts * 2 * min(appendsPerSecond, size.requests/size.hosts)
}

// roles works out the cost of each role of a daemon from the slopes.
func (size fleetSize) roles(slopes map[string]slope) []roleLine {
	last := func(name string) float64 { return slopes[name].last() }
	kinds := slopes["ledger record: open, turn, intent of 200 B, outcome"].Values
	neighbours := size.hosts/size.places - 1
	placeCalls := size.requests / size.places
	opened := placeCalls / size.turns
	records := placeCalls*(1-size.once) + placeCalls*size.once*2 + opened*2
	recordBytes := placeCalls*(1-size.once)*kinds[1] + placeCalls*size.once*(kinds[2]+kinds[3]) + opened*(kinds[0]+kinds[3])
	hostCalls := size.requests / size.hosts
	// One exchange of two messages tells both hosts of a pair.
	beats := neighbours*beatsPerSecond + relays*(size.places-1)*beatsPerSecond/2
	held := size.workspaces / (size.hosts / size.places)
	permit := 2 * (300.0 + frameOverhead)
	ask := 2 * (100.0 + frameOverhead)
	return []roleLine{
		{"ledger follower", last("ledger fold: memory of a program") * size.programs / size.places, recordBytes, records * last("ledger fold: processor of a record") / 1e6},
		{"owner of programs", last("owner: memory of a program beside its texts") * size.programs / size.hosts, 0,
			ticksPerSecond * last("owner: processor of a tick, for each program") * size.programs / size.hosts / 1e6},
		{"membership", 1000 * size.hosts, beats * 2 * last("heartbeat: bytes with its frame"),
			(beats*2*last("heartbeat: processor of encoding, decoding and hearing") + claimsPerSecond*last("membership: processor of the choice of slots")) / 1e6},
		{"entry host: workspaces", last("entry host: memory of a workspace with traffic") * min(size.workspaces, hostCalls*60), hostCalls * ask, hostCalls * last("rate holder: processor of an ask") / 1e6},
		{"rate holder", last("rate holder: memory of a workspace") * held, hostCalls * ask, hostCalls * last("rate holder: processor of an ask") / 1e6},
		{"queue holder", last("queue holder: memory of a target") * size.targets / size.places, hostCalls * permit, hostCalls * last("queue holder: processor of a permit and its return") / 1e6},
		{"configuration follower", 4 * last("configuration: bytes of a change in the log") * size.workspaces / 7600, last("configuration: bytes of a change in the log") * size.workspaces / 7600 * size.changes / secondsPerDay,
			last("configuration: processor of a change") * size.workspaces / 7600 * size.changes / secondsPerDay / 1e3},
	}
}
