// Package configuration holds the operators' text: its model, its checks and
// the fold of the stream on which texts are published and keys are given and
// withdrawn.
package configuration

import "time"

// Text is the operators' configuration.
type Text struct {
	DataCentres []DataCentre `yaml:"data_centres"`
	Services    []Service    `yaml:"services"`
	Workspaces  []Workspace  `yaml:"workspaces"`
}

// DataCentre is a place with its own hosts and targets.
type DataCentre struct {
	Name string `yaml:"name"`
	// Hosts is the most entry hosts that run at one time.
	Hosts int `yaml:"hosts"`
	// Closed data centres open no programs.
	Closed bool `yaml:"closed"`
}

// Service is something that programs call.
type Service struct {
	Name      string   `yaml:"name"`
	Kind      string   `yaml:"kind"`
	DependsOn []string `yaml:"depends_on"`
	// Repeatable services may run the same call more than once.
	Repeatable bool `yaml:"repeatable"`
	// Open routes need no key.
	Open bool `yaml:"open"`
	// Fencing tells that the targets refuse orders with an old number.
	Fencing bool `yaml:"fencing"`
	// Model is what the engines should have loaded, with its version; empty
	// leaves them as they are.
	Model string `yaml:"model"`
	// Cost is charged to the program's budget for each call of a plain service, in tokens.
	Cost int64 `yaml:"cost"`
	// Window is the number of calls that a target is given at one time.
	Window           int           `yaml:"window"`
	Timeout          time.Duration `yaml:"timeout"`
	FirstByteTimeout time.Duration `yaml:"first_byte_timeout"`
	TokenTimeout     time.Duration `yaml:"token_timeout"`
	Targets          []Target      `yaml:"targets"`
}

// Target is one address of a service.
type Target struct {
	DataCentre string `yaml:"data_centre"`
	Address    string `yaml:"address"`
}

// Workspace is a customer with its share of the fleet.
type Workspace struct {
	Name string `yaml:"name"`
	// Rate is the number of requests admitted a second over the whole fleet.
	Rate  float64 `yaml:"rate"`
	Burst float64 `yaml:"burst"`
	// Priority multiplies the weight while targets are short: each step is
	// worth four times the share.
	Priority int `yaml:"priority"`
	// Weight is the share of the fleet relative to other workspaces.
	Weight float64 `yaml:"weight"`
	// OfflineGrace is how long keyed requests are served without a fresh view
	// of the withdrawn keys.
	OfflineGrace time.Duration `yaml:"offline_grace"`
	// Services that the workspace may call; all if empty.
	Services []string `yaml:"services"`
	// Keys that are accepted for the workspace, by key id; all if empty.
	Keys   []string `yaml:"keys"`
	Limits Limits   `yaml:"limits"`
}

// Limits bounds the programs of a workspace.
type Limits struct {
	Turns  int           `yaml:"turns"`
	Tokens int64         `yaml:"tokens"`
	Time   time.Duration `yaml:"time"`
	Idle   time.Duration `yaml:"idle"`
}

// Kinds of services in the text.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Defaults of fields that the text leaves out.
const (
	DefaultWindow           = 8
	DefaultTimeout          = 60 * time.Second
	DefaultFirstByteTimeout = 10 * time.Second
	DefaultTokenTimeout     = 5 * time.Second
	DefaultWeight           = 1.0
	DefaultOfflineGrace     = 10 * time.Minute
	DefaultTurns            = 200
	DefaultTokens           = 1_000_000
	DefaultTime             = 24 * time.Hour
	DefaultIdle             = 30 * time.Minute
)

// setDefaults fills in what the text leaves out.
func (text *Text) setDefaults() {
	for index := range text.Services {
		service := &text.Services[index]
		setDefault(&service.Window, DefaultWindow)
		setDefault(&service.Timeout, DefaultTimeout)
		setDefault(&service.FirstByteTimeout, DefaultFirstByteTimeout)
		setDefault(&service.TokenTimeout, DefaultTokenTimeout)
	}
	for index := range text.Workspaces {
		workspace := &text.Workspaces[index]
		setDefault(&workspace.Weight, DefaultWeight)
		setDefault(&workspace.OfflineGrace, DefaultOfflineGrace)
		setDefault(&workspace.Limits.Turns, DefaultTurns)
		setDefault(&workspace.Limits.Tokens, DefaultTokens)
		setDefault(&workspace.Limits.Time, DefaultTime)
		setDefault(&workspace.Limits.Idle, DefaultIdle)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Service looks up a service by name.
func (text *Text) Service(name string) (Service, bool) {
	return find(text.Services, func(service Service) bool { return service.Name == name })
}

// Workspace looks up a workspace by name.
func (text *Text) Workspace(name string) (Workspace, bool) {
	return find(text.Workspaces, func(workspace Workspace) bool { return workspace.Name == name })
}

// DataCentre looks up a data centre by name.
func (text *Text) DataCentre(name string) (DataCentre, bool) {
	return find(text.DataCentres, func(dataCentre DataCentre) bool { return dataCentre.Name == name })
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	for _, item := range items {
		if match(item) {
			return item, true
		}
	}
	var none T
	return none, false
}
