package membership

import "github.com/godwitspread/godwitspread/internal/placement"

// Protocol is the version of the membership protocol that this build speaks. Hosts
// with protocol 0 exchange their status with every other host; they know neither
// reports nor digests.
const Protocol = 2

// CopiesProtocol is the version that hosts announce instead which keep copies of quota
// accounts. They do so only where the operator has enabled it.
const CopiesProtocol = 3

// Member describes a host, as its entry in the store does.
type Member struct {
	Host        string `msgpack:"h"`
	Incarnation string `msgpack:"i"`
	Address     string `msgpack:"a"`
	DataCentre  string `msgpack:"d"`
	Protocol    int    `msgpack:"p,omitempty"`
	Capacity    int    `msgpack:"c,omitempty"` // processor time that the host may use, in percent of a core
}

// State is what all hosts know of a member.
type State struct {
	Member
	Stopping       bool `msgpack:"x,omitempty"`
	StoreReachable bool `msgpack:"s,omitempty"` // the direct path to the store has responded recently
	StoreFast      bool `msgpack:"f,omitempty"` // the mean latency of the direct path is low, so hedged calls of other hosts may use it
	TargetsLost    bool `msgpack:"u,omitempty"` // the host can connect to no target
	// First says that no earlier incarnation of the host was running when it started, as far
	// as the store says: there was none, or it had ended.
	First bool `msgpack:"n,omitempty"`
	// Version is that of the host's configuration. It is told between hosts that
	// exchange digests for themselves only, since it changes on all hosts at once.
	Version int64 `msgpack:"v,omitempty"`
}

// Summary is what some hosts together know.
type Summary struct {
	Load        map[string]int            `msgpack:"l,omitempty"` // requests in flight, by target
	CrashCounts map[string]map[uint64]int `msgpack:"q,omitempty"` // target crashes, by host and by the digest of the request that was running
	Version     int64                     `msgpack:"v,omitempty"` // newest version of the configuration

	Tokens map[string]int                `msgpack:"t,omitempty"` // of the requests in flight, by target
	Speeds map[string]placement.SpeedSum `msgpack:"p,omitempty"` // observed speed, by target
}

// Report is what a host tells its aggregator.
type Report struct {
	State    State   `msgpack:"m"`
	Summary  Summary `msgpack:"s"`
	Source   string  `msgpack:"i,omitempty"` // incarnation of the aggregator whose list the host has
	Sequence uint64  `msgpack:"n,omitempty"` // of that list
}

// ReportResponse is what an aggregator tells a host about all others.
type ReportResponse struct {
	Member   Member   `msgpack:"m"` // the aggregator
	Sequence uint64   `msgpack:"n"` // of its list of hosts
	Complete bool     `msgpack:"f,omitempty"`
	Alive    []State  `msgpack:"a,omitempty"` // all hosts if the list is complete, else those that have changed
	Lost     []string `msgpack:"g,omitempty"` // hosts that are no longer alive
	Count    int      `msgpack:"t,omitempty"` // of all hosts in the list
	Summary  Summary  `msgpack:"s"`
}

// Digest is what an aggregator tells another one about the hosts that report to it.
type Digest struct {
	Member     Member   `msgpack:"m"`
	Reporting  bool     `msgpack:"r,omitempty"` // the sender reports to another host and has no group
	Sequence   uint64   `msgpack:"n"`           // of the group
	Complete   bool     `msgpack:"f,omitempty"`
	Group      []State  `msgpack:"g,omitempty"` // the group with the aggregator, if complete; else it is as the receiver knows it
	Known      uint64   `msgpack:"k,omitempty"` // sequence of the receiver's group that the sender has
	Introduced []Member `msgpack:"j,omitempty"` // all hosts that the sender takes for alive, if the receiver was not among them
	PeersHash  uint64   `msgpack:"h,omitempty"` // of the aggregators that the sender exchanges digests with, and itself
	Peers      []Member `msgpack:"e,omitempty"` // these aggregators, if the receiver has others
	Summary    Summary  `msgpack:"s"`
}
