// Package platform is the client of the platform's services: the append-only
// log and the list of hosts.
package platform

import (
	"context"
	"time"
)

// Streams of the log.
const (
	ConfigurationStream = "configuration"
	ledgerPrefix        = "ledger."
	historyPrefix       = "history."
)

// LedgerStream returns the name of a data centre's ledger.
func LedgerStream(dataCentre string) string { return ledgerPrefix + dataCentre }

// HistoryStream returns the name of a data centre's history.
func HistoryStream(dataCentre string) string { return historyPrefix + dataCentre }

// Entry is one append as read back.
type Entry struct {
	Offset int64 `json:"offset" msgpack:"offset"`
	// AgeMillis is how long the log has held the append.
	AgeMillis int64  `json:"age_ms" msgpack:"age_ms"`
	Data      []byte `json:"data" msgpack:"data"`
}

// Age returns how long the log had held the append when it was read.
func (entry Entry) Age() time.Duration { return time.Duration(entry.AgeMillis) * time.Millisecond }

// Page is a part of a stream. First is the oldest offset that is retained and
// End the offset that the next append will get.
type Page struct {
	Entries []Entry `json:"entries"`
	First   int64   `json:"first"`
	End     int64   `json:"end"`
}

// Log is the platform's append-only log. An error of Append leaves open
// whether the append takes effect, now or later.
type Log interface {
	// Append adds data to the stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns entries from an offset on, at most limit if that is above
	// zero. It waits up to wait for the first one.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

// HostState is the platform's view of a host.
type HostState string

// States of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one line of the platform's list.
type Host struct {
	Name       string    `json:"name"`
	DataCentre string    `json:"data_centre"`
	Address    string    `json:"address"`
	State      HostState `json:"state"`
}

// Hosts is the platform's list of hosts. It lags behind the truth.
type Hosts interface {
	Hosts(ctx context.Context) ([]Host, error)
}
