// Package dispatch runs calls on targets: it obtains permits from the holder
// of a service's queue, does the HTTP exchange, and retries what may be
// repeated.
package dispatch

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/target"
)

// Methods that hosts call on the holder of a queue.
const (
	MethodPermit  = "permit"
	MethodSettle  = "settle"
	MethodRelease = "release"
	MethodBan     = "ban"
)

// PermitRequest asks the holder of a service's queue for a target.
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
	// Forwarded requests come from a data centre without targets of the
	// service and are answered by this one.
	Forwarded bool `msgpack:"forwarded"`
}

// Permit allows one call on a target until it is settled.
type Permit struct {
	ID      uint64           `msgpack:"id"`
	Target  string           `msgpack:"target"`
	Cached  int              `msgpack:"cached"`
	Refusal *refusal.Refusal `msgpack:"refusal,omitempty"`
}

// SettleRequest returns a permit.
type SettleRequest struct {
	Service string        `msgpack:"service"`
	Report  target.Report `msgpack:"report"`
}

// ReleaseRequest says that a program has ended.
type ReleaseRequest struct {
	Program string `msgpack:"program"`
}

// BanMessage spreads the digests of requests that crash targets. Relays pass it
// on inside their data centre.
type BanMessage struct {
	Digests []string `msgpack:"digests"`
	Relayed bool     `msgpack:"relayed"`
}

// failure is why one exchange with a target gave no whole answer.
type failure struct {
	kind target.Failure
	run  refusal.Run
	text string
	// refusal is set if the queue refused the call.
	refusal *refusal.Refusal
}

// exchange is one try of a call on a target.
type exchange struct {
	output    string
	status    int
	report    target.Report
	clock     clockwork.Clock
	started   time.Time
	firstByte time.Duration
	failure   *failure
}
