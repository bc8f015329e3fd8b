// Package explain contains the report on what a host would do with a request: where it
// would go and why, or why it would be rejected. The report only describes; the decisions
// are those of the packages that serve requests.
package explain

import "time"

// Report is the answer of a host. Times are in milliseconds; an age of -1 is not known.
type Report struct {
	Host          string  `json:"host"`
	DataCentre    string  `json:"data_centre"`
	Build         string  `json:"build,omitempty"`
	StoreReached  bool    `json:"store_reached"`
	Configuration int64   `json:"configuration_version"`
	Inputs        []Input `json:"inputs"` // with the ages of what the host knows

	Request   Request    `json:"request"`
	Route     *Route     `json:"route,omitempty"`
	Key       string     `json:"key"` // valid, unknown or not_required; empty if it was not checked
	Workspace string     `json:"workspace,omitempty"`
	Quota     *Quota     `json:"quota,omitempty"`     // absent if the workspace has no limit, or the request is rejected before
	Rejection *Rejection `json:"rejection,omitempty"` // of the request whatever its service is
	Services  []Service  `json:"services"`            // of the route, one of which is drawn for each request
	Notes     []string   `json:"notes,omitempty"`     // what was not evaluated, or is uncertain
}

// Input is something that the host knows from elsewhere.
type Input struct {
	Name      string `json:"name"`
	AgeMillis int64  `json:"age_ms"`
}

// Request is what the decisions depend on.
type Request struct {
	Method       string `json:"method"`
	HostName     string `json:"host_name"`
	Path         string `json:"path"`
	Program      string `json:"program,omitempty"`
	PreviousTurn string `json:"previous_turn,omitempty"`
	Resumes      string `json:"resumes,omitempty"`
	BodyBytes    int    `json:"body_bytes"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	PrefixParts  int    `json:"prompt_parts,omitempty"` // that could be read
	PrefixTokens int    `json:"prompt_parts_tokens,omitempty"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	TimeLeft     int64  `json:"time_left_ms,omitempty"` // until the deadline of the request
}

// Route is the route of the request.
type Route struct {
	Name        string   `json:"name"`
	HostName    string   `json:"host_name"`
	Prefix      string   `json:"prefix"`
	Streaming   bool     `json:"streaming"`
	Urgent      bool     `json:"urgent"`
	HomeRegions []string `json:"home_regions,omitempty"`
}

// Quota is the account of the workspace and its decision. Requests are counted in the
// window of the limit.
type Quota struct {
	Rate        float64 `json:"per_second"`
	Burst       float64 `json:"burst"`
	Known       bool    `json:"known"`
	Admitted    bool    `json:"admitted"`
	Delay       int64   `json:"delay_ms,omitempty"` // before the request would be sent
	Exists      bool    `json:"account_exists"`
	Used        float64 `json:"used"`
	Granted     float64 `json:"granted"`
	Available   float64 `json:"available"` // to requests of new programs, before this one
	Committed   float64 `json:"committed"` // to active programs
	Programs    int     `json:"programs"`
	Coordinator string  `json:"coordinator,omitempty"` // address of the host that keeps the account; empty for this host
	Fallback    bool    `json:"fallback,omitempty"`    // this host decides alone
	Reason      string  `json:"reason,omitempty"`
}

// Rejection is the response to a request that is not sent. Retry-After is drawn between the
// two times, which are equal if it is not random.
type Rejection struct {
	Status        int     `json:"status"`
	Reason        string  `json:"reason"`
	Cause         string  `json:"cause,omitempty"`
	RetryAfter    int64   `json:"retry_after_ms"`
	MaxRetryAfter int64   `json:"max_retry_after_ms"`
	Share         float64 `json:"share"` // of the draws that end so
}

// Service is what would happen to a request for which a service is drawn.
type Service struct {
	Name       string      `json:"name"`
	Weight     float64     `json:"share"` // of the requests of the route
	Budget     *Budget     `json:"budget,omitempty"`
	Start      *Start      `json:"admission,omitempty"`
	Spillover  *Spillover  `json:"spillover,omitempty"`
	Rejections []Rejection `json:"rejections,omitempty"` // one if the request is rejected, several if draws end differently
	Draws      int         `json:"draws"`                // of the random sample by which the shares of targets are estimated; 0 if the request is rejected before
	Targets    []Target    `json:"targets"`
}

// Budget is the claim on the budget of the program.
type Budget struct {
	Tokens      int    `json:"tokens"` // that the turn claims
	Budget      int    `json:"budget"`
	Verdict     string `json:"verdict"`   // reserved, spent, not_started, unavailable or unknown
	Allocated   int    `json:"allocated"` // generated or held by turns, as the ledger says
	LedgerRead  bool   `json:"ledger_read"`
	LedgerAge   int64  `json:"ledger_age_ms"`
	Coordinator string `json:"coordinator,omitempty"` // empty for this host
	Fallback    bool   `json:"fallback,omitempty"`
	Reason      string `json:"reason,omitempty"`
}

// Start is the decision whether a new program may begin. It concerns first turns only.
type Start struct {
	Admitted bool    `json:"admitted"`
	InFlight int     `json:"in_flight"`
	Slots    int     `json:"slots"`
	Paused   int     `json:"paused_targets"`
	Rate     float64 `json:"starts_per_second"` // of this host; 0 while that is not known
	Tokens   float64 `json:"starts_left"`
}

// Spillover is the decision which requests leave the data centre.
type Spillover struct {
	Reason   string             `json:"reason"`
	Anywhere bool               `json:"anywhere,omitempty"`
	Shares   map[string]float64 `json:"shares,omitempty"` // by data centre
}

// Target is a target of the service.
type Target struct {
	ID           string  `json:"target"`
	DataCentre   string  `json:"data_centre"`
	Version      string  `json:"version,omitempty"`
	Excluded     string  `json:"excluded,omitempty"` // why it does not get the request
	Share        float64 `json:"share"`              // of the draws in which it would get the request
	Cost         Cost    `json:"cost"`
	Slots        int     `json:"slots"`
	InFlight     int     `json:"in_flight"`       // of all hosts
	Own          int     `json:"own_in_flight"`   // of this host
	LoadAge      int64   `json:"load_age_ms"`     // of what the other hosts have in flight there
	Tokens       int     `json:"tokens"`          // in flight
	CachedTokens int     `json:"cached_tokens"`   // of the prompt
	Affine       bool    `json:"affine"`          // the last target of the session or object
	Returning    bool    `json:"returning"`       // gets a part of its requests after an evacuation
	Paused       int64   `json:"paused_ms"`       // until its request limit leaves room
	Backoff      int64   `json:"backoff_ms"`      // in which it is a last resort
	Cold         int64   `json:"cold_ms"`         // for which it is cold
	ColdRate     float64 `json:"cold_per_second"` // requests of all hosts while it is cold; 0 without a bound
	Limit        float64 `json:"per_second"`      // that it announces; 0 without a limit
	LimitAge     int64   `json:"limit_age_ms"`
	FigureAge    int64   `json:"speed_age_ms"`     // of the speed that it has announced
	Permit       string  `json:"permit,omitempty"` // assumed if the host that grants the permits does not say what it would decide
}

// Cost are the parts of the cost of a target, and their sum.
type Cost struct {
	Total    float64 `json:"total"`
	Load     float64 `json:"load"`
	Queue    float64 `json:"queue"`
	Way      float64 `json:"way"`
	Cold     float64 `json:"cold"`
	Prefill  float64 `json:"prefill"`
	Affinity float64 `json:"affinity"`
	Speed    float64 `json:"speed"`
	Memory   float64 `json:"memory"`
}

// UnknownAge is the age of what was never heard of.
const UnknownAge = -1

// Millis returns a duration in milliseconds, rounded up so that no wait looks like none.
func Millis(duration time.Duration) int64 {
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}
