// Package dispatch runs calls on targets. It obtains a permit from the host that
// owns the queue of the service, sends the HTTP request, and retries failed
// calls that are safe to repeat. It also loads models on engines.
package dispatch

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/target"
)

// Methods that hosts call on the owner of a queue.
const (
	MethodPermit  = "permit"
	MethodSettle  = "settle"
	MethodRelease = "release"
	MethodBan     = "ban"
)

// PermitRequest asks the owner of a service's queue for a permit to run one call.
// Prompt, Output and Attained are in tokens, as in target.Request.
type PermitRequest struct {
	Service       string `msgpack:"service"`
	Program       string `msgpack:"program"`
	Workspace     string `msgpack:"workspace"`
	Prompt        int    `msgpack:"prompt"`
	Output        int    `msgpack:"output"`
	Attained      int64  `msgpack:"attained"`
	TimeoutMillis int64  `msgpack:"timeout_ms"`
	Digest        string `msgpack:"digest"`
	Avoid         string `msgpack:"avoid"`
	// Forwarded reports that the request comes from a data centre without
	// usable targets of the service. It isn't forwarded again.
	Forwarded bool `msgpack:"forwarded"`
}

// Permit allows one call on a target. It is valid until it is settled.
type Permit struct {
	ID      uint64           `msgpack:"id"`
	Target  string           `msgpack:"target"`
	Cached  int              `msgpack:"cached"`
	Refusal *refusal.Refusal `msgpack:"refusal,omitempty"`
}

// SettleRequest settles a permit with the result of its call.
type SettleRequest struct {
	Service string        `msgpack:"service"`
	Report  target.Report `msgpack:"report"`
}

// ReleaseRequest announces the end of a program.
type ReleaseRequest struct {
	Program string `msgpack:"program"`
}

// BanMessage distributes the digests of requests that crash targets, each
// qualified by its workspace. One relay in each data centre forwards it to the
// other hosts there.
type BanMessage struct {
	Digests []string `msgpack:"digests"`
	Relayed bool     `msgpack:"relayed"`
}

// failure describes why an exchange with a target gave no complete response.
type failure struct {
	kind    target.Failure
	run     refusal.RunState
	message string
	// refusal is set if the queue refused the call.
	refusal *refusal.Refusal
}

// exchange is the result of one HTTP exchange with a target.
type exchange struct {
	output    string
	status    int
	report    target.Report
	clock     clockwork.Clock
	started   time.Time
	firstByte time.Duration
	failure   *failure
}
