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
	// mergeTimeout bounds the wait for the merger of another host. A batch whose
	// response is lost is appended again.
	mergeTimeout = 1500 * time.Millisecond
)

// appendMessage asks the host that merges a stream to append an encoded batch.
type appendMessage struct {
	Stream string `msgpack:"s"`
	Data   []byte `msgpack:"d"`
}

// mergingAppender sends batches to the host that merges the appends to a stream. It
// appends directly to the log if the data centre has fewer than minHosts live hosts,
// where merging isn't worth the extra hop, or if the merging host fails.
type mergingAppender struct {
	network     *network
	logAppender owner.LogAppender
	minHosts    int // live hosts in the data centre
}

// Append implements owner.Appender.
func (appender mergingAppender) Append(ctx context.Context, stream string, data []byte) (owner.Position, error) {
	network := appender.network
	var live []host.Heartbeat
	network.heartbeater.View(func(membership *host.Membership, now time.Time) { live = membership.Live(now, network.self.DataCentre) })
	if len(live) < appender.minHosts {
		return appender.logAppender.Append(ctx, stream, data)
	}
	addresses := make(map[string]string, len(live))
	names := make([]string, 0, len(live))
	for _, heartbeat := range live {
		names = append(names, heartbeat.Name)
		addresses[heartbeat.Name] = heartbeat.Address
	}
	mergeCtx, cancel := context.WithTimeout(ctx, mergeTimeout)
	defer cancel()
	mergerHost := host.RankKey("merger", stream, names)[0]
	if mergerHost == network.self.Name {
		return network.merger.Append(ctx, stream, data)
	}
	var position owner.Position
	if err := network.transport.Ask(mergeCtx, addresses[mergerHost], methodAppend, appendMessage{Stream: stream, Data: data}, &position); err == nil {
		return position, nil
	}
	network.metrics.CountRetry("merge")
	return appender.logAppender.Append(ctx, stream, data)
}

// handleAppend appends a batch from another host of the data centre.
func (handlers *handlers) handleAppend(ctx context.Context, message appendMessage) (owner.Position, error) {
	dataCentre := handlers.network.self.DataCentre
	if message.Stream != platform.LedgerStream(dataCentre) && message.Stream != platform.HistoryStream(dataCentre) {
		return owner.Position{}, refusal.New(refusal.BadRequest, "stream %q is not merged here", message.Stream)
	}
	return handlers.network.merger.Append(ctx, message.Stream, message.Data)
}
