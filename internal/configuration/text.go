// Package configuration parses and validates the operators' configuration text, and
// replicates the current text and the keys of callers from a stream of the log.
package configuration

import "time"

// Text is the parsed configuration text of the operators.
type Text struct {
	DataCentres []DataCentre `yaml:"data_centres"`
	Services    []Service    `yaml:"services"`
	Workspaces  []Workspace  `yaml:"workspaces"`
}

// DataCentre is a group of hosts and targets at one location.
type DataCentre struct {
	Name string `yaml:"name"`
	// Hosts is the maximum number of entry hosts that run at the same time.
	Hosts int `yaml:"hosts"`
	// Closed means that the data centre accepts no new programs.
	Closed bool `yaml:"closed"`
}

// Service is a service that programs call, which is an engine or a plain service.
type Service struct {
	Name string `yaml:"name"`
	Kind string `yaml:"kind"`
	// DependsOn lists the services without which this one cannot run calls.
	DependsOn []string `yaml:"depends_on"`
	// Repeatable means that the same call may run more than once.
	Repeatable bool `yaml:"repeatable"`
	// Open means that callers need no key.
	Open bool `yaml:"open"`
	// Fencing means that the engines reject orders to load a model that have an
	// outdated fencing token.
	Fencing bool `yaml:"fencing"`
	// Model is the name and version of the model that the engines load. If it is
	// empty, their models are left unchanged.
	Model string `yaml:"model"`
	// Cost is the number of tokens that one call of a plain service costs the
	// program's budget.
	Cost int64 `yaml:"cost"`
	// Window is the maximum number of calls in flight at one target.
	Window           int           `yaml:"window"`
	Timeout          time.Duration `yaml:"timeout"`
	FirstByteTimeout time.Duration `yaml:"first_byte_timeout"`
	TokenTimeout     time.Duration `yaml:"token_timeout"`
	Targets          []Target      `yaml:"targets"`
}

// Target is one instance of a service.
type Target struct {
	DataCentre string `yaml:"data_centre"`
	Address    string `yaml:"address"`
}

// Workspace is a customer with its rate, priority and limits.
type Workspace struct {
	Name string `yaml:"name"`
	// Rate is the number of requests per second that all hosts together admit.
	Rate float64 `yaml:"rate"`
	// Burst is the number of requests that may be admitted at once after a time without
	// requests.
	Burst float64 `yaml:"burst"`
	// Priority applies while targets are overloaded. Each step multiplies the weight
	// by four.
	Priority int `yaml:"priority"`
	// Weight is the share of the targets' capacity, relative to other workspaces.
	Weight float64 `yaml:"weight"`
	// OfflineGrace is how long a host that cannot refresh its list of withdrawn keys
	// still accepts requests with a key.
	OfflineGrace time.Duration `yaml:"offline_grace"`
	// Services lists the services that the workspace may call. All are allowed if it
	// is empty.
	Services []string `yaml:"services"`
	// Keys lists the IDs of the keys that are accepted for the workspace. All are
	// accepted if it is empty.
	Keys   []string `yaml:"keys"`
	Limits Limits   `yaml:"limits"`
}

// Limits are the limits of each program of a workspace.
type Limits struct {
	Turns int `yaml:"turns"`
	// Tokens is the largest budget of a program.
	Tokens int64 `yaml:"tokens"`
	// Time is the age at which a program ends.
	Time time.Duration `yaml:"time"`
	// Idle is the time without an active or queued call after which a program ends.
	Idle time.Duration `yaml:"idle"`
}

// Kinds of services.
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

// setDefaults sets the fields that are zero to their defaults.
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
	var zero T
	return zero, false
}
