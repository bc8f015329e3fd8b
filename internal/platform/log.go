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

// LedgerStream returns the name of the stream with a data centre's ledger.
func LedgerStream(dataCentre string) string { return ledgerPrefix + dataCentre }

// HistoryStream returns the name of the stream with a data centre's history.
func HistoryStream(dataCentre string) string { return historyPrefix + dataCentre }

// Entry is one append, as Log.Read returns it.
type Entry struct {
	Offset int64 `json:"offset" msgpack:"offset"`
	// AgeMillis is the time from the append to the read.
	AgeMillis int64  `json:"age_ms" msgpack:"age_ms"`
	Data      []byte `json:"data" msgpack:"data"`
}

// Age returns the time from the append to the read.
func (entry Entry) Age() time.Duration { return time.Duration(entry.AgeMillis) * time.Millisecond }

// Page is a range of a stream. First is the oldest offset that is retained, and
// End is the offset of the next append.
type Page struct {
	Entries []Entry `json:"entries"`
	First   int64   `json:"first"`
	End     int64   `json:"end"`
}

// Log is the platform's append-only log. After an error of Append, the append may
// still take effect, at once or later.
type Log interface {
	// Append appends data to a stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns entries starting at an offset. A limit above zero bounds their
	// number. If there is no entry yet, Read waits for one for the given time.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

// HostState is the state of a host according to the platform.
type HostState string

// States of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is a host in the platform's list.
type Host struct {
	Name       string    `json:"name"`
	DataCentre string    `json:"data_centre"`
	Address    string    `json:"address"`
	State      HostState `json:"state"`
}

// Hosts returns the platform's list of hosts. The list lags behind the actual
// state.
type Hosts interface {
	Hosts(ctx context.Context) ([]Host, error)
}
