package mesh

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/store"
)

// Relays lists the hosts that reach the store, those of this data centre
// first.
func (mesh *Mesh) Relays() []store.Path {
	var paths []store.Path
	for _, status := range mesh.Live() {
		if status.StoreOK {
			paths = append(paths, store.Path{Store: &relayed{mesh: mesh, address: status.Member.Address}, Fast: status.StoreFast})
		}
	}
	return paths
}

// relayed calls the store through another host.
type relayed struct {
	mesh    *Mesh
	address string
}

// relayTimeout bounds a relayed call beyond the wait of a long poll.
const relayTimeout = 1500 * time.Millisecond

func (relayed *relayed) ask(ctx context.Context, wait time.Duration, method string, argument any) (storeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+wait)
	defer cancel()
	var answer storeAnswer
	if err := relayed.mesh.transport.Ask(ctx, relayed.address, method, argument, &answer); err != nil {
		return storeAnswer{}, err
	}
	return answer, answer.err()
}

// Append implements store.Store.
func (relayed *relayed) Append(ctx context.Context, batch store.Append) (int64, error) {
	answer, err := relayed.ask(ctx, 0, methodAppend, batch)
	return answer.Offset, err
}

// Read implements store.Store.
func (relayed *relayed) Read(ctx context.Context, read store.Read) (store.Page, error) {
	answer, err := relayed.ask(ctx, read.Wait, methodRead, read)
	return answer.Page, err
}

// List implements store.Store.
func (relayed *relayed) List(ctx context.Context, list store.List) (store.Listing, error) {
	answer, err := relayed.ask(ctx, 0, methodList, list)
	return answer.Listing, err
}
