package capacity

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// ErrNotExplained is the error of a coordinator that responds but cannot tell what it would
// decide, such as one of an older build.
var ErrNotExplained = errors.New("coordinator does not explain its decisions")

// Peeker asks the coordinator of a target what it would decide. Permits of coordinators
// that do not implement it count as granted.
type Peeker interface {
	PeekPermit(ctx context.Context, address string, request PermitRequest) (PermitResponse, error)
}

// Peek returns what Serve would decide, without using a permit.
func (limiter *Limiter) Peek(request PermitRequest) PermitResponse {
	return limiter.Detach(limiter.clock, func(string, string) {}).Serve(request)
}

// Detach returns a limiter that decides as this one would, and shares no buckets with it.
// It asks other hosts once for each target, and only what they would decide. If one cannot
// tell, its permit counts as granted, and assumed is called with the target and the address
// of that host. The copies of a copy share these answers.
func (limiter *Limiter) Detach(clock clockwork.Clock, assumed func(target, coordinator string)) *Limiter {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	coordinators, detached := limiter.coordinators.(*silentCoordinators)
	if !detached {
		coordinators = &silentCoordinators{Coordinators: limiter.coordinators, assumed: assumed, answers: make(map[question]answer)}
	}
	copied := NewLimiter(limiter.board, coordinators, clock, metric.Discard())
	for target, bucket := range limiter.buckets {
		duplicate := *bucket
		copied.buckets[target] = &duplicate
	}
	for target, bucket := range limiter.fallback {
		duplicate := *bucket
		copied.fallback[target] = &duplicate
	}
	for target, chance := range limiter.isolated {
		duplicate := *chance
		copied.isolated[target] = &duplicate
	}
	return copied
}

// silentCoordinators ask other hosts what they would decide. They are not safe for
// concurrent use.
type silentCoordinators struct {
	Coordinators
	assumed func(target, coordinator string)
	answers map[question]answer
}

type question struct {
	target   string
	maxDelay time.Duration
}

type answer struct {
	response PermitResponse
	err      error
}

// RequestPermit implements Coordinators.
func (silentCoordinators *silentCoordinators) RequestPermit(ctx context.Context, address string, request PermitRequest) (PermitResponse, error) {
	asked := question{request.Target, request.MaxDelay}
	if known, ok := silentCoordinators.answers[asked]; ok {
		return known.response, known.err
	}
	response, err := PermitResponse{}, ErrNotExplained
	if peeker, ok := silentCoordinators.Coordinators.(Peeker); ok {
		response, err = peeker.PeekPermit(ctx, address, request)
	}
	if errors.Is(err, ErrNotExplained) {
		silentCoordinators.assumed(request.Target, address)
		response, err = PermitResponse{Granted: true}, nil
	}
	silentCoordinators.answers[asked] = answer{response, err}
	return response, err
}
