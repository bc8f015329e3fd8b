package daemon

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/owner"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

const (
	methodAppend = "append"
	// mergeTimeout bounds the wait for another host's merger. A list whose
	// answer is lost is appended again.
	mergeTimeout = 1500 * time.Millisecond
)

// appendMessage asks the merger of a stream to append a list.
type appendMessage struct {
	Stream string `msgpack:"s"`
	Data   []byte `msgpack:"d"`
}

// mergedAppender sends lists to the host that merges a stream, if the data
// centre has enough hosts for that to be worth a hop, and appends them itself
// where that fails.
type mergedAppender struct {
	network *network
	direct  owner.Direct
	atLeast int // live hosts
}

// Append implements owner.Appender.
func (appender mergedAppender) Append(ctx context.Context, stream string, data []byte) (owner.Position, error) {
	network := appender.network
	var live []host.Heartbeat
	network.beater.View(func(membership *host.Membership, now time.Time) { live = membership.Live(now, network.own.DataCentre) })
	if len(live) < appender.atLeast {
		return appender.direct.Append(ctx, stream, data)
	}
	addresses := make(map[string]string, len(live))
	names := make([]string, 0, len(live))
	for _, heartbeat := range live {
		names = append(names, heartbeat.Name)
		addresses[heartbeat.Name] = heartbeat.Address
	}
	merging, cancel := context.WithTimeout(ctx, mergeTimeout)
	defer cancel()
	first := host.RankKey("merger", stream, names)[0]
	if first == network.own.Name {
		return network.merger.Append(ctx, stream, data)
	}
	var position owner.Position
	if err := network.transport.Ask(merging, addresses[first], methodAppend, appendMessage{Stream: stream, Data: data}, &position); err == nil {
		return position, nil
	}
	network.metrics.Retried("merge")
	return appender.direct.Append(ctx, stream, data)
}

// merge appends the list of another host of the data centre.
func (handlers *handlers) merge(ctx context.Context, message appendMessage) (owner.Position, error) {
	place := handlers.network.own.DataCentre
	if message.Stream != platform.LedgerStream(place) && message.Stream != platform.HistoryStream(place) {
		return owner.Position{}, refusal.New(refusal.BadRequest, "stream %q is not merged here", message.Stream)
	}
	return handlers.network.merger.Append(ctx, message.Stream, message.Data)
}
