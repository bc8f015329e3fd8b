package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/pkg/client"
)

// TestRefresh guards against state that is lost when the log drops expired records. On a
// log with a retention of a few seconds, a host that starts after the first records were
// dropped must load the configuration, the keys and the withdrawals, and the whole history
// of a program.
func TestRefresh(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newClusterWithRetention(t, 8*time.Second, "a", "a")
	council := cluster.client("council")
	id := mustOpen(t, council, client.OpenOptions{})
	for _, call := range []string{"1", "2", "3"} {
		_, err := council.Do(ctx, id, draftCall(call, "item "+call))
		is.NoErr(err)
	}
	cluster.publish(configuration.Record{ID: "withdrawal", Withdraw: &configuration.Withdraw{Key: cluster.keys["temple"]}})
	page, err := cluster.log.Read(ctx, platform.HistoryStream("a"), 0, 0, 0)
	is.NoErr(err)
	end := page.End
	cluster.eventually("the first records have been dropped", func() bool {
		for _, stream := range []string{platform.ConfigurationStream, platform.HistoryStream("a")} {
			page, err := cluster.log.Read(ctx, stream, 0, 0, 0)
			if err != nil || page.First == 0 || stream != platform.ConfigurationStream && page.First < end {
				return false
			}
		}
		return true
	})
	newNode := cluster.start("a")
	cluster.waitReady()
	cluster.stop(cluster.nodes[0])
	cluster.stop(cluster.nodes[1])
	cluster.waitReady()
	turns, err := cluster.client("council", newNode).History(ctx, id)
	is.NoErr(err)
	is.Equal(len(turns), 3)
	checkHistory(is, turns)
	_, err = cluster.client("temple", newNode).Open(ctx, client.OpenOptions{})
	code, _ := refusalOf(err)
	is.Equal(code, "unauthorized") // the withdrawal is in force although its record was dropped
}
