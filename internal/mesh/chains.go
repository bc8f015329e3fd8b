package mesh

import (
	"context"

	"github.com/godwitspread/godwitspread/internal/history"
)

// FindChain implements history.Peers. It asks the program's coordinator in this data centre
// first, because that host collects copies of the program's turns, and then those in the
// other data centres. Each of them may name the host that has run the turn, which had read the
// whole chain. All hosts are asked only if these do not have it.
func (mesh *Mesh) FindChain(ctx context.Context, program, workspace, id string, everywhere bool) []history.Turn {
	request := findRequest{workspace, id}
	if found := mesh.findAtCoordinators(ctx, []string{mesh.self.DataCentre}, program, request); found != nil || !everywhere {
		return found
	}
	if found := mesh.findAtCoordinators(ctx, mesh.otherDataCentres(), program, request); found != nil {
		return found
	}
	return mesh.findEverywhere(ctx, request)
}

// findAtCoordinators returns the whole chain if a coordinator of the program in some data
// centres has it, or a host that one of them names.
func (mesh *Mesh) findAtCoordinators(ctx context.Context, dataCentres []string, program string, request findRequest) []history.Turn {
	ctx, cancel := context.WithTimeout(ctx, 2*coordinatorTimeout)
	defer cancel()
	maxCalls := 2 * len(dataCentres) // a coordinator and another host each
	asked := map[string]bool{mesh.self.Address: true}
	responses := make(chan turnList, maxCalls)
	running := 0
	ask := func(address string) {
		if address == "" || asked[address] || len(asked) > maxCalls {
			return
		}
		asked[address] = true
		running++
		go func() {
			ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
			defer cancel()
			responses <- mesh.findAt(ctx, address, request)
		}()
	}
	for _, dataCentre := range dataCentres {
		coordinator, _ := mesh.coordinatorOf(program, dataCentre)
		ask(coordinator.Address)
	}
	for ; running > 0; running-- {
		found := <-responses
		if found.isWhole() {
			return found.Turns
		}
		ask(found.Holder)
	}
	return nil
}

// findEverywhere returns the longest part of a chain that a reachable host has.
func (mesh *Mesh) findEverywhere(ctx context.Context, request findRequest) []history.Turn {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	live := mesh.Reachable()
	responses := make(chan turnList, len(live))
	for _, state := range live {
		go func() { responses <- mesh.findAt(ctx, state.Address, request) }()
	}
	var longest turnList
	for range live {
		if found := <-responses; len(found.Turns) > len(longest.Turns) {
			longest = found
		}
		if longest.isWhole() {
			break
		}
	}
	return longest.Turns
}

// findAt returns what a host has cached of a chain.
func (mesh *Mesh) findAt(ctx context.Context, address string, request findRequest) turnList {
	var found turnList
	if err := mesh.transport.Ask(ctx, address, methodFind, request, &found); err != nil {
		mesh.logger.WithError(err).WithField("peer", address).Debug("looking up a turn on another host failed")
		return turnList{}
	}
	return found
}
