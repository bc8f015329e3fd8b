package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/pkg/client"
)

// TestServiceOfAnotherDataCentre calls a service that has targets in one data
// centre only from programs of both.
func TestServiceOfAnotherDataCentre(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "b")
	far := cluster.client("council", cluster.nodes[2])
	id := mustOpen(t, far, client.OpenOptions{})
	is.Equal(id[:2], "b.")
	for _, call := range []string{"1", "2", "3"} {
		_, err := far.Do(ctx, id, client.Call{ID: call, Service: "signature", Input: "{}", Timeout: 10 * time.Second})
		is.NoErr(err)
		is.Equal(cluster.filing.Runs()[id+"/"+call], 1)
	}
	for _, node := range cluster.nodes[:2] {
		cluster.eventually("every permit is returned", func() bool {
			for _, target := range node.daemon.holder.Status() {
				if target.Running > 0 {
					return false
				}
			}
			return true
		})
	}
}

// TestPoisonedRequest sends a request that crashes each engine that runs it
// through hosts of two data centres and under new programs.
func TestPoisonedRequest(t *testing.T) {
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "b")
	cluster.engine.Poison("poison")
	near, far := cluster.client("council", cluster.nodes[0]), cluster.client("council", cluster.nodes[2])
	poisoned := func(caller *client.Client) string {
		id := mustOpen(t, caller, client.OpenOptions{})
		_, err := caller.Do(ctx, id, draft("p", "poison"))
		code, _ := codeOf(err)
		return code
	}
	cluster.eventually("the request is quarantined", func() bool { return poisoned(near) == "quarantined" })
	cluster.eventually("the other data centre knows", func() bool { return poisoned(far) == "quarantined" })
	for _, caller := range []*client.Client{near, far} {
		cluster.eventually("innocent calls go on", func() bool {
			id := mustOpen(t, caller, client.OpenOptions{})
			_, err := caller.Do(ctx, id, draft("i", "innocent"))
			return err == nil
		})
	}
}
