package mesh

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/membership"
	"github.com/godwitspread/godwitspread/internal/store"
)

// maxRelays bounds the paths to the store through hosts of one data centre. A call tries no
// more. Some calls may only go through some data centres.
const maxRelays = 4

// Relays returns paths to the store through other hosts that reach it directly, those
// of this data centre first. Hosts begin with different ones, so that a data centre
// which has lost the store does not send all its calls through the same host.
func (mesh *Mesh) Relays() []store.Path {
	reachable := mesh.Reachable()
	local := 0
	for local < len(reachable) && reachable[local].DataCentre == mesh.self.DataCentre {
		local++
	}
	var paths []store.Path
	inDataCentre := make(map[string]int)
	for _, group := range [][]membership.State{reachable[:local], reachable[local:]} {
		for index := range group {
			state := group[(index+int(mesh.offset%uint64(len(group))))%len(group)]
			if state.StoreReachable && inDataCentre[state.DataCentre] < maxRelays {
				inDataCentre[state.DataCentre]++
				paths = append(paths, store.Path{Store: &relayedStore{mesh: mesh, address: state.Address}, DataCentre: state.DataCentre, Fast: state.StoreFast})
			}
		}
	}
	return paths
}

// relayedStore calls the store through another host.
type relayedStore struct {
	mesh    *Mesh
	address string
}

// relayTimeout limits a relayed call, in addition to the wait of a long poll.
const relayTimeout = 1500 * time.Millisecond

func (relayedStore *relayedStore) call(ctx context.Context, wait time.Duration, method string, argument any) (storeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+wait)
	defer cancel()
	var response storeResponse
	if err := relayedStore.mesh.transport.Ask(ctx, relayedStore.address, method, argument, &response); err != nil {
		return storeResponse{}, err
	}
	return response, response.err()
}

// Append implements store.Store.
func (relayedStore *relayedStore) Append(ctx context.Context, batch store.Append) (int64, error) {
	response, err := relayedStore.call(ctx, 0, methodAppend, batch)
	return response.Offset, err
}

// Read implements store.Store.
func (relayedStore *relayedStore) Read(ctx context.Context, read store.Read) (store.Page, error) {
	response, err := relayedStore.call(ctx, read.Wait, methodRead, read)
	return response.Page, err
}

// List implements store.Store.
func (relayedStore *relayedStore) List(ctx context.Context, list store.List) (store.Listing, error) {
	response, err := relayedStore.call(ctx, list.Patience(), methodList, list)
	return response.Listing, err
}
