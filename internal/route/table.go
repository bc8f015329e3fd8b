// Package route represents one version of the configuration, with its routes,
// services, workspaces, keys and limits, and matches requests to routes.
package route

import (
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind classifies the requests of a route by how often they may run.
type Kind uint8

// Kinds of routes.
const (
	Safe      Kind = iota // may run more than once
	Unsafe                // runs at most once for each attempt of a caller
	Streaming             // responds with a stream of events; runs at most once unless resumable
)

// Route matches requests by host name and path prefix and defines how they are
// served.
type Route struct {
	Name             string
	HostName         string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // time limit of a request
	LatencyObjective time.Duration
	MaxEventGap      time.Duration     // longest expected time between two events of a stream
	Priority         int               // 0 is the most urgent
	WeightedServices []WeightedService // services among which requests are distributed
	MaxRuns          int               // maximum number of targets that may run one attempt of a caller
	Public           bool              // requests need no key
	Sticky           bool              // from the configuration; not used when targets are selected
	// Resumable streams continue on another target after the last event.
	Resumable bool
	// KeepsHistory makes turns durable, so that later turns can continue them.
	KeepsHistory bool
	Retention    time.Duration // how long turns and the use of budgets are stored
	HomeRegions  []string      // regions to which requests are confined; empty for all
}

// WeightedService is a service of a route with its weight in the distribution
// of requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Idempotent reports whether a request may be retried although it may already
// have run.
func (route *Route) Idempotent() bool {
	return route.Kind == Safe || route.Kind == Streaming && route.Resumable
}

// Services returns the services that requests of the route are sent to.
func (route *Route) Services() []string {
	var services []string
	for _, weighted := range route.WeightedServices {
		if weighted.Weight > 0 {
			services = append(services, weighted.Service)
		}
	}
	return services
}

// PickService selects a service by weight with a random fraction in [0, 1).
func (route *Route) PickService(fraction float64) string {
	total := 0.0
	for _, weighted := range route.WeightedServices {
		total += weighted.Weight
	}
	fraction *= total
	for _, weighted := range route.WeightedServices {
		if fraction < weighted.Weight {
			return weighted.Service
		}
		fraction -= weighted.Weight
	}
	if len(route.WeightedServices) == 0 {
		return ""
	}
	return route.WeightedServices[len(route.WeightedServices)-1].Service
}

// Service is a group of interchangeable targets.
type Service struct {
	Name        string
	HealthPath  string
	Connections int // connections that each target accepts from all hosts together
	Engine      *Engine
	Cold        Cold
	ColdFault   error // why Cold could not be decoded, or nil
}

// Cold is the phase after its start in which a target sustains few requests.
type Cold struct {
	Duration time.Duration // 0 if targets are known to be cold only by what they say
	Rate     float64       // requests a second that a cold target sustains; 0 without a bound
}

// Engine contains the properties of targets that generate tokens.
type Engine struct {
	Slots           int // requests that a target runs concurrently
	CacheTokens     int // capacity of the prompt cache of a target
	EventTokens     int // budget tokens charged per event
	SupportsBackups bool
	SupportsHold    bool
}

// Workspace is a customer with its keys, priority and request rate.
type Workspace struct {
	Name        string
	HasPriority bool
	Priority    int     // overrides that of the route if HasPriority is set
	Rate        float64 // requests per second on all hosts together; 0 is unlimited
	Burst       float64
	HomeRegions []string // regions to which requests are confined; empty for all
}

// Limits are the limits on callers' connections and requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	version          int64
	routesByHostName map[string][]*Route // longest prefix first
	services         map[string]*Service
	workspaces       map[string]*Workspace
	keys             map[string]*Workspace
	limits           Limits
}

// NewTable returns a table of the given routes, services and workspaces. The map
// keys contains the name of the workspace of each key.
func NewTable(version int64, routes []*Route, services []*Service, workspaces []*Workspace, keys map[string]string, limits Limits) *Table {
	table := &Table{
		version: version, routesByHostName: make(map[string][]*Route), services: make(map[string]*Service),
		workspaces: make(map[string]*Workspace), keys: make(map[string]*Workspace), limits: limits,
	}
	for _, route := range routes {
		table.routesByHostName[route.HostName] = append(table.routesByHostName[route.HostName], route)
	}
	for _, group := range table.routesByHostName {
		sort.SliceStable(group, func(a, b int) bool { return len(group[a].Prefix) > len(group[b].Prefix) })
	}
	for _, service := range services {
		table.services[service.Name] = service
	}
	for _, workspace := range workspaces {
		table.workspaces[workspace.Name] = workspace
	}
	for key, name := range keys {
		table.keys[key] = table.workspaces[name]
	}
	return table
}

// Version returns the version number of the configuration.
func (table *Table) Version() int64 { return table.version }

// Limits returns the limits on callers' connections and requests.
func (table *Table) Limits() Limits { return table.limits }

// Service returns the service with the given name, or nil.
func (table *Table) Service(name string) *Service { return table.services[name] }

// Services returns all services by name.
func (table *Table) Services() map[string]*Service { return table.services }

// KeepCold replaces the cold phases that could not be decoded by those of an earlier
// version, which may be nil. It must be called before the table is used.
func (table *Table) KeepCold(earlier *Table) {
	if earlier == nil {
		return
	}
	for name, service := range table.services {
		if known := earlier.Service(name); service.ColdFault != nil && known != nil {
			service.Cold = known.Cold
		}
	}
}

// Workspaces returns all workspaces by name.
func (table *Table) Workspaces() map[string]*Workspace { return table.workspaces }

// HomeRegions returns the home regions of all routes and workspaces, in order.
func (table *Table) HomeRegions() []string {
	var names []string
	for _, group := range table.routesByHostName {
		for _, route := range group {
			names = append(names, route.HomeRegions...)
		}
	}
	for _, workspace := range table.workspaces {
		names = append(names, workspace.HomeRegions...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// HomesOfTurns returns the pairs of home regions, of a route that keeps turns and of a
// workspace or none, of which at least one is set. Equal pairs are returned once.
func (table *Table) HomesOfTurns() [][2][]string {
	ofWorkspaces := [][]string{nil}
	for _, workspace := range table.workspaces {
		if !containsList(ofWorkspaces, workspace.HomeRegions) {
			ofWorkspaces = append(ofWorkspaces, workspace.HomeRegions)
		}
	}
	var pairs [][2][]string
	var ofRoutes [][]string
	for _, group := range table.routesByHostName {
		for _, route := range group {
			if !route.KeepsHistory || containsList(ofRoutes, route.HomeRegions) {
				continue
			}
			ofRoutes = append(ofRoutes, route.HomeRegions)
			for _, ofWorkspace := range ofWorkspaces {
				if len(route.HomeRegions)+len(ofWorkspace) > 0 {
					pairs = append(pairs, [2][]string{route.HomeRegions, ofWorkspace})
				}
			}
		}
	}
	return pairs
}

func containsList(lists [][]string, wanted []string) bool {
	return slices.ContainsFunc(lists, func(list []string) bool { return slices.Equal(list, wanted) })
}

// WorkspaceByKey returns the workspace that a key belongs to, or nil.
func (table *Table) WorkspaceByKey(key string) *Workspace { return table.keys[key] }

// RequiresKey reports whether requests must have a valid key, unless their route
// is public. A configuration without workspaces requires none.
func (table *Table) RequiresKey() bool { return len(table.workspaces) > 0 }

// Find returns the route of the host name with the longest matching path prefix,
// or nil. It ignores the port and the case of the host name.
func (table *Table) Find(hostName, path string) *Route {
	if colon := strings.LastIndexByte(hostName, ':'); colon >= 0 {
		hostName = hostName[:colon]
	}
	for _, route := range table.routesByHostName[strings.ToLower(hostName)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RandomFraction returns a random number in [0, 1), for the selection of a
// service.
func RandomFraction() float64 { return rand.Float64() }
