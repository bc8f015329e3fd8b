package mesh

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/membership"
	"github.com/godwitspread/godwitspread/internal/region"
)

// storedHosts is the number of hosts that are asked for the stored turns of a chain.
const storedHosts = 2

// errNoHomeHost is returned if no host in the home regions of turns is reachable.
var errNoHomeHost = errors.New("no host in the home regions of the turn is reachable")

type storedRequest struct {
	Homes     []string `msgpack:"h"` // empty for turns without home regions
	Workspace string   `msgpack:"w"`
	ID        string   `msgpack:"i"`
}

type storedResponse struct {
	Turns   []history.Turn `msgpack:"t,omitempty"`
	Unknown bool           `msgpack:"u,omitempty"` // the store has no such turn
}

// FindStored implements history.Peers. Hosts that reach the store themselves are asked
// first.
func (mesh *Mesh) FindStored(ctx context.Context, constraint *region.Constraint, workspace, id string) ([]history.Turn, error) {
	err := errNoHomeHost
	for _, state := range mesh.homeHosts(constraint) {
		var response storedResponse
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		err = mesh.transport.Ask(callCtx, state.Address, methodStored, storedRequest{constraint.Homes(), workspace, id}, &response)
		cancel()
		if err == nil && response.Unknown {
			return nil, history.ErrNoTurn
		}
		if err == nil {
			return response.Turns, nil
		}
		mesh.logger.WithError(err).WithFields(log.Fields{"peer": state.Host, "turn": id}).Info("host in the home regions of a turn did not return it")
	}
	return nil, fmt.Errorf("find the stored turn %q: %w", id, err)
}

// FindKept implements history.Peers. The coordinator of the partition among the hosts of all
// data centres reads it for the others.
func (mesh *Mesh) FindKept(ctx context.Context, partition, workspace, id string) (turns []history.Turn, self bool, err error) {
	mesh.AwaitSettled(ctx)
	address, self := mesh.Coordinator(partition)
	if self {
		return nil, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, keptTimeout)
	defer cancel()
	var response storedResponse
	err = mesh.transport.Ask(ctx, address, methodStored, storedRequest{Workspace: workspace, ID: id}, &response)
	if err == nil && response.Unknown {
		err = history.ErrNoTurn
	}
	return response.Turns, false, err
}

// keptTimeout limits the wait for the host that reads a partition: for its own reads, and
// for those of others before.
const keptTimeout = 1500 * time.Millisecond

// homeHosts returns some reachable hosts in the home regions of a constraint in random
// order, those first that reach the store.
func (mesh *Mesh) homeHosts(constraint *region.Constraint) []membership.State {
	var withStore, others []membership.State
	for _, state := range mesh.Reachable() {
		switch {
		case state.Stopping || !constraint.AllowsTarget(state.DataCentre):
		case state.StoreReachable:
			withStore = append(withStore, state)
		default:
			others = append(others, state)
		}
	}
	for _, group := range [][]membership.State{withStore, others} {
		rand.Shuffle(len(group), func(first, second int) { group[first], group[second] = group[second], group[first] })
	}
	hosts := append(withStore, others...)
	return hosts[:min(storedHosts, len(hosts))]
}
