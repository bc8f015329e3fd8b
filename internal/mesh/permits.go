package mesh

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/internal/capacity"
)

const (
	permitTimeout = 60 * time.Millisecond // shorter than a turn; another target may have room
	// coldPermitTimeout is the same for cold targets. Without the coordinator all hosts
	// together may send such a target a tenth of its rate only, so an answer that comes
	// late because a host is busy is worth the wait.
	coldPermitTimeout = 250 * time.Millisecond
	// maxPermitLag is how late a time-out may be noticed that counts against the
	// coordinator. Otherwise this host did not get the processor itself.
	maxPermitLag        = 50 * time.Millisecond
	maxSlowCoordinators = 1024
)

// slowCoordinators are the hosts that have not answered the last request for a permit of a
// cold target. It is safe for concurrent use.
type slowCoordinators struct {
	mutex     sync.Mutex
	addresses map[string]bool
}

// timeout returns how long to wait for a permit from the host at an address.
func (slowCoordinators *slowCoordinators) timeout(address string, cold bool) time.Duration {
	slowCoordinators.mutex.Lock()
	defer slowCoordinators.mutex.Unlock()
	if cold && !slowCoordinators.addresses[address] {
		return coldPermitTimeout
	}
	return permitTimeout
}

// record records whether the host at an address has answered.
func (slowCoordinators *slowCoordinators) record(address string, answered bool) {
	slowCoordinators.mutex.Lock()
	defer slowCoordinators.mutex.Unlock()
	if answered {
		delete(slowCoordinators.addresses, address)
		return
	}
	if slowCoordinators.addresses == nil || len(slowCoordinators.addresses) >= maxSlowCoordinators {
		slowCoordinators.addresses = make(map[string]bool)
	}
	slowCoordinators.addresses[address] = true
}

// RequestPermit implements capacity.Coordinators.
func (mesh *Mesh) RequestPermit(ctx context.Context, address string, request capacity.PermitRequest) (capacity.PermitResponse, error) {
	timeout, began := mesh.slowCoordinators.timeout(address, request.Cold), mesh.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var response capacity.PermitResponse
	err := mesh.transport.Ask(callCtx, address, methodPermit, request, &response)
	switch {
	case err == nil:
		mesh.slowCoordinators.record(address, true)
	case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil && mesh.clock.Since(began) <= timeout+maxPermitLag:
		mesh.slowCoordinators.record(address, false)
	}
	return response, err
}
