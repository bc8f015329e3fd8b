package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/pkg/client"
)

// TestServiceOfAnotherDataCentre guards against calls that fail, run twice or leak permits
// because the service has targets only in another data centre than the program.
func TestServiceOfAnotherDataCentre(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "b")
	remoteClient := cluster.client("council", cluster.nodes[2])
	id := mustOpen(t, remoteClient, client.OpenOptions{})
	is.Equal(id[:2], "b.")
	for _, call := range []string{"1", "2", "3"} {
		_, err := remoteClient.Do(ctx, id, client.Call{ID: call, Service: "signature", Input: "{}", Timeout: 10 * time.Second})
		is.NoErr(err)
		is.Equal(cluster.filing.Runs()[id+"/"+call], 1)
	}
	for _, node := range cluster.nodes[:2] {
		cluster.eventually("every permit is settled", func() bool {
			for _, target := range node.daemon.queueServer.Status() {
				if target.Running > 0 {
					return false
				}
			}
			return true
		})
	}
}

// TestPoisonedRequest guards against a request that crashes every engine that runs it and
// is retried through other hosts, in another data centre or by new programs. It must be
// quarantined everywhere without affecting other requests.
func TestPoisonedRequest(t *testing.T) {
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "b")
	cluster.engine.CrashOn("poison")
	localClient, remoteClient := cluster.client("council", cluster.nodes[0]), cluster.client("council", cluster.nodes[2])
	sendPoisoned := func(caller *client.Client) string {
		id := mustOpen(t, caller, client.OpenOptions{})
		_, err := caller.Do(ctx, id, draftCall("p", "poison"))
		code, _ := refusalOf(err)
		return code
	}
	cluster.eventually("the request is quarantined", func() bool { return sendPoisoned(localClient) == "quarantined" })
	cluster.eventually("the request is quarantined in the other data centre", func() bool { return sendPoisoned(remoteClient) == "quarantined" })
	for _, caller := range []*client.Client{localClient, remoteClient} {
		cluster.eventually("other calls still succeed", func() bool {
			id := mustOpen(t, caller, client.OpenOptions{})
			_, err := caller.Do(ctx, id, draftCall("i", "innocent"))
			return err == nil
		})
	}
}
