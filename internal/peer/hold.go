package peer

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

const (
	smallPayloadBytes = 1 << 10 // up to which frames are counted instead of reserved, as most are
	smallFrameBytes   = 4 << 10 // upper estimate for such a frame with the goroutine of its call
	smallFrameShare   = 16      // part of the budget whose size all counted frames may have
	minSmallFrames    = 256
	// receivedCopies is the number of copies of a received payload: as it came, and
	// decoded.
	receivedCopies = 2

	requestPatience  = 100 * time.Millisecond // to wait for memory for the argument of a call, which another host may serve
	responsePatience = 2 * time.Second        // the same for a value of a response, whose call has run
	receivePatience  = 200 * time.Millisecond // the same for received values, in one patienceWindow; pings wait as well
	patienceWindow   = time.Second
	memoryRetryAfter = time.Second
)

// frameMemory bounds the memory for the frames of a transport.
type frameMemory struct {
	budget   *memory.Budget
	maxSmall int64
	small    atomic.Int64 // small frames that are held without a reservation
}

// setBudget sets the budget in which large frames are reserved.
func (frames *frameMemory) setBudget(budget *memory.Budget) {
	frames.budget = budget
	if budget != nil {
		frames.maxSmall = max(minSmallFrames, budget.Capacity()/smallFrameShare/smallFrameBytes)
	}
}

// hold is the memory of one frame. Its owner is that of the frame.
type hold struct {
	counter     *atomic.Int64 // of small frames
	reservation *memory.Reservation
}

// release returns the memory. It may be called more than once.
func (hold *hold) release() {
	if hold.counter != nil {
		hold.counter.Add(-1)
		hold.counter = nil
	}
	hold.reservation.Release()
}

// countSmall holds the memory of a small frame without a reservation, if few are held
// so.
func (frames *frameMemory) countSmall(payload int) (hold, bool) {
	if payload > smallPayloadBytes {
		return hold{}, false
	}
	if frames.small.Add(1) > frames.maxSmall {
		frames.small.Add(-1)
		return hold{}, false
	}
	return hold{counter: &frames.small}, true
}

// cost returns the bytes to reserve for copies of a payload.
func cost(payload, copies int) int64 { return int64(max(smallFrameBytes, payload*copies)) }

// reserve holds the memory for copies of a payload. It returns a
// *memory.ExhaustedError if there is none.
func (frames *frameMemory) reserve(payload, copies int) (hold, error) {
	if held, ok := frames.countSmall(payload); ok || frames.budget == nil {
		return held, nil
	}
	reservation, err := frames.budget.Reserve(memory.Accepted, cost(payload, copies))
	return hold{reservation: reservation}, err
}

// await does the same, and waits until the context ends if there is no memory.
func (frames *frameMemory) await(ctx context.Context, payload, copies int) (hold, error) {
	if held, ok := frames.countSmall(payload); ok || frames.budget == nil {
		return held, nil
	}
	reservation, err := frames.budget.Await(ctx, memory.Accepted, cost(payload, copies))
	return hold{reservation: reservation}, err
}

// noMemory returns the refusal of a call for which a host has no memory.
func noMemory(host string, payload int, err error) *refusal.Refusal {
	return refusal.New(refusal.MemoryExhausted, "host %q has no memory for a message of %d bytes: %v", host, payload, err).WithRetryAfter(memoryRetryAfter)
}

// encode encodes a value to be sent, and waits until there is memory for it. It returns
// a refusal of a call that did not run if there is none within its patience.
func (connection *connection) encode(ctx context.Context, patience time.Duration, value any) (codec.Raw, hold, error) {
	waitCtx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var held hold
	reserve := func(length int) error {
		if length > maxPayloadBytes {
			return fmt.Errorf("message of %d bytes is over the limit of %d", length, maxPayloadBytes)
		}
		var err error
		held, err = connection.frames.await(waitCtx, length, 1)
		if err != nil && ctx.Err() == nil {
			return noMemory(connection.local, length, err)
		}
		return err
	}
	payload, err := codec.MarshalReserved(value, smallPayloadBytes, reserve)
	if err == nil && len(payload) <= smallPayloadBytes {
		err = reserve(len(payload))
	}
	if err != nil {
		held.release()
		return nil, hold{}, err
	}
	return payload, held, nil
}

// errUnwanted is the reason for discarding a payload that nobody waits for.
var errUnwanted = errors.New("no call waits for the payload")

// admit holds the memory for the payload of a frame that is being read. It is called
// by the goroutine that reads, whose waits are bounded because pings wait as well.
func (connection *connection) admit(message *frame, payload int) error {
	var err error
	switch message.Kind {
	case kindRequest:
		message.held, err = connection.frames.reserve(payload, receivedCopies)
		return err
	case kindData:
		connection.mutex.Lock()
		_, waited := connection.calls[message.Stream]
		connection.mutex.Unlock()
		if !waited {
			return errUnwanted
		}
		if message.held, err = connection.frames.reserve(payload, receivedCopies); err != nil {
			message.held, err = connection.awaitReceived(payload)
		}
		return err
	default:
		return errUnwanted
	}
}

// awaitReceived waits for the memory for a received value as long as it may. It returns
// an error if there is none in time.
func (connection *connection) awaitReceived(payload int) (hold, error) {
	now := time.Now()
	if now.Sub(connection.waitWindow) >= patienceWindow {
		connection.waitWindow, connection.waited = now, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), receivePatience-connection.waited)
	defer cancel()
	held, err := connection.frames.await(ctx, payload, receivedCopies)
	connection.waited += time.Since(now)
	return held, err
}

// refuse tells the other host that its call did not run, because there is no memory
// for its argument.
func (connection *connection) refuse(message frame) {
	ctx, cancel := context.WithTimeout(context.Background(), receivePatience)
	defer cancel()
	// A caller that does not get the answer ends the call at its deadline.
	_ = connection.send(ctx, frame{Stream: message.Stream, Kind: kindEnd, Refusal: noMemory(connection.local, message.discarded, message.failure)})
}
