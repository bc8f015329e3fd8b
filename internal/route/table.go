// Package route holds the configuration in force: routes, services, keys and
// limits, and finds the route of a request.
package route

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind uint8

// Kinds of routes.
const (
	Safe      Kind = iota // may run any number of times
	Unsafe                // runs at most once for each attempt of a caller
	Streaming             // answers with events; at most once unless resumable
)

// Route is a path prefix of a host name and how its requests are served.
type Route struct {
	Name     string
	HostName string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Timeout  time.Duration // longest time that a request is kept waiting
	Target   time.Duration // latency objective
	Gap      time.Duration // longest pause between events of a punctual stream
	Priority int           // 0 is the most urgent
	Split    []Share
	Attempts int // targets that may run one attempt of a caller
	Public   bool
	Sticky   bool
	// Resumable streams continue on another target after the last event.
	Resumable bool
	// KeepsHistory marks turns whose input continues an earlier turn.
	KeepsHistory bool
	Retention    time.Duration // how long turns and spent budgets are remembered
}

// Share is the weight of a service among those of a route.
type Share struct {
	Service string
	Weight  float64
}

// Idempotent reports whether a request may run again after it may have run.
func (route *Route) Idempotent() bool {
	return route.Kind == Safe || route.Kind == Streaming && route.Resumable
}

// Pick returns a service by weight. The draw is in [0, 1).
func (route *Route) Pick(draw float64) string {
	total := 0.0
	for _, share := range route.Split {
		total += share.Weight
	}
	draw *= total
	for _, share := range route.Split {
		if draw < share.Weight {
			return share.Service
		}
		draw -= share.Weight
	}
	if len(route.Split) == 0 {
		return ""
	}
	return route.Split[len(route.Split)-1].Service
}

// Service is a group of interchangeable targets.
type Service struct {
	Name        string
	HealthPath  string
	Connections int // connections that a target accepts from all hosts
	Engine      *Engine
}

// Engine describes targets that generate tokens.
type Engine struct {
	Slots       int
	CacheTokens int
	EventTokens int // tokens that an event stands for in budgets
	Backups     bool
	Holds       bool
}

// Workspace is a customer with keys and a rate.
type Workspace struct {
	Name        string
	HasPriority bool
	Priority    int
	Rate        float64 // requests a second over all hosts; 0 is unlimited
	Burst       float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It does not change.
type Table struct {
	version    int64
	byHost     map[string][]*Route // longest prefix first
	services   map[string]*Service
	workspaces map[string]*Workspace
	keys       map[string]*Workspace
	limits     Limits
}

// NewTable returns a table. Keys maps each key to the name of its workspace.
func NewTable(version int64, routes []*Route, services []*Service, workspaces []*Workspace, keys map[string]string, limits Limits) *Table {
	table := &Table{
		version: version, byHost: make(map[string][]*Route), services: make(map[string]*Service),
		workspaces: make(map[string]*Workspace), keys: make(map[string]*Workspace), limits: limits,
	}
	for _, route := range routes {
		table.byHost[route.HostName] = append(table.byHost[route.HostName], route)
	}
	for _, group := range table.byHost {
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

// Version returns the version of the configuration.
func (table *Table) Version() int64 { return table.version }

// Limits returns the limits on callers.
func (table *Table) Limits() Limits { return table.limits }

// Service returns a service or nil.
func (table *Table) Service(name string) *Service { return table.services[name] }

// Workspaces returns all workspaces by name.
func (table *Table) Workspaces() map[string]*Workspace { return table.workspaces }

// ByKey returns the workspace that holds a key, or nil.
func (table *Table) ByKey(key string) *Workspace { return table.keys[key] }

// NeedsKeys reports whether requests carry keys.
func (table *Table) NeedsKeys() bool { return len(table.workspaces) > 0 }

// Find returns the route with the longest prefix of the path, or nil.
func (table *Table) Find(hostName, path string) *Route {
	if colon := strings.LastIndexByte(hostName, ':'); colon >= 0 {
		hostName = hostName[:colon]
	}
	for _, route := range table.byHost[strings.ToLower(hostName)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Draw returns a number in [0, 1) to pick a service with.
func Draw() float64 { return rand.Float64() }
