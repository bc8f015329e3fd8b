// Package memory bounds the memory that callers, targets, other hosts and the store
// can make a host hold.
package memory

import (
	"context"
	"fmt"
	"sync"
)

// Class is the kind of work that memory is reserved for. The classes differ in the share
// of the budget that they may fill.
type Class uint8

// Classes of work.
const (
	// Admission is for requests that can still be refused. Large ones leave room for
	// small ones, and all of them leave room for Accepted.
	Admission Class = iota
	// Accepted is for what requests need that have been accepted, and for calls
	// between hosts and to the store.
	Accepted
	// Connections is for open connections, also between requests.
	Connections
	// Overhead is for what each request needs beside its content. It has bytes of its own,
	// so that small requests are served beside large ones.
	Overhead
	// Cached is for data that can be read again, and is released for the other classes.
	Cached
	classCount
)

// Classes returns all classes.
func Classes() []Class { return []Class{Admission, Accepted, Connections, Overhead, Cached} }

// String returns the name of the class in metrics.
func (class Class) String() string {
	return [classCount]string{"admission", "accepted", "connections", "overhead", "cached"}[class]
}

// OverheadShare is the share of a budget that the class Overhead has in addition to it.
const OverheadShare = 0.15

// SmallBytes is the size up to which a reservation of the class Admission may use the
// share of small requests.
const SmallBytes = 64 << 10

// Shares of the budget. The first group is that of all reservations together, up to
// which a class may fill the budget; the second is that of the class alone.
const (
	largeShare     = 0.6 // large requests
	admissionShare = 0.8 // all requests that are not accepted yet
	cacheFillShare = 0.6

	connectionShare = 0.5
	cacheShare      = 0.4
)

// ExhaustedError reports a reservation for which there is no memory now.
type ExhaustedError struct {
	Class     Class
	Requested int64 // bytes
	Held      int64 // bytes held by all reservations
	Limit     int64 // bytes up to which a reservation of this class and size may fill the budget
}

// Error implements error.
func (err *ExhaustedError) Error() string {
	return fmt.Sprintf("%d bytes of class %q do not fit: %d of %d bytes are held", err.Requested, err.Class, err.Held, err.Limit)
}

// Budget is a bound on the bytes that all reservations hold together. It is safe for
// concurrent use. A nil Budget has no bound.
type Budget struct {
	capacity int64

	mutex     sync.Mutex
	held      int64
	byClass   [classCount]int64 // bytes held
	peak      int64
	exhausted [classCount]int64 // reservations that were refused
	waiters   []*waiter         // oldest first
	reclaim   func(bytes int64)
}

// waiter is a call of Await that has no memory yet.
type waiter struct {
	class   Class
	bytes   int64
	granted chan *Reservation
}

// NewBudget returns a budget of a number of bytes. The class Overhead has OverheadShare
// times as many in addition.
func NewBudget(capacity int64) *Budget { return &Budget{capacity: capacity} }

// OnShortage sets a function that is called when a reservation of the class Admission or
// Accepted does not fit. It releases about as many bytes of the other classes as it is
// given, if they hold as many. It must be set before the first reservation.
func (budget *Budget) OnShortage(reclaim func(bytes int64)) { budget.reclaim = reclaim }

// Capacity returns the bound, in bytes.
func (budget *Budget) Capacity() int64 { return budget.capacity }

// Held returns the bytes that are reserved without those of the class Overhead, and the
// most that were reserved at a time.
func (budget *Budget) Held() (held, peak int64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.held, budget.peak
}

// HeldBy returns the bytes that the reservations of a class hold.
func (budget *Budget) HeldBy(class Class) int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.byClass[class]
}

// Exhausted returns how many reservations of a class were refused, without spare memory.
func (budget *Budget) Exhausted(class Class) int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.exhausted[class]
}

// limit returns the bytes up to which a reservation of a class that has the given size
// may fill the budget.
func (budget *Budget) limit(class Class, size int64) int64 {
	switch {
	case class == Cached:
		return budget.share(cacheFillShare)
	case class != Admission:
		return budget.capacity
	case size > SmallBytes:
		return budget.share(largeShare)
	default:
		return budget.share(admissionShare)
	}
}

// classLimit returns the bytes that all reservations of a class may hold.
func (budget *Budget) classLimit(class Class) int64 {
	switch class {
	case Connections:
		return budget.share(connectionShare)
	case Cached:
		return budget.share(cacheShare)
	case Overhead:
		return budget.share(OverheadShare)
	default:
		return budget.capacity
	}
}

func (budget *Budget) share(share float64) int64 { return int64(share * float64(budget.capacity)) }

// Fits reports whether a reservation of a class can be granted when nothing else is held.
func (budget *Budget) Fits(class Class, bytes int64) bool {
	return budget == nil || bytes <= min(budget.limit(class, bytes), budget.classLimit(class))
}

// HasRoom reports whether a new reservation of a class and a number of bytes fits now.
func (budget *Budget) HasRoom(class Class, bytes int64) bool {
	if budget == nil {
		return true
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.hasRoom(class, bytes, bytes)
}

// Reservation is a part of a budget. It must be released. Its methods are not safe for
// concurrent use; a nil Reservation holds nothing.
type Reservation struct {
	budget *Budget
	class  Class
	bytes  int64
}

// Reserve reserves a number of bytes. It returns an *ExhaustedError if they do not fit.
func (budget *Budget) Reserve(class Class, bytes int64) (*Reservation, error) {
	reservation := &Reservation{budget: budget, class: class}
	if err := reservation.Grow(bytes); err != nil {
		return nil, err
	}
	return reservation, nil
}

// ReserveOverhead reserves a number of bytes for a request beside its content, in the
// class Overhead or else as Admission. It returns an *ExhaustedError if they do not fit.
func (budget *Budget) ReserveOverhead(bytes int64) (*Reservation, error) {
	if reservation, err := budget.Reserve(Overhead, bytes); err == nil {
		return reservation, nil
	}
	return budget.Reserve(Admission, bytes)
}

// Await reserves a number of bytes, and waits until they fit. It returns the cause of the
// context if it ends before, and an *ExhaustedError if they can never fit.
func (budget *Budget) Await(ctx context.Context, class Class, bytes int64) (*Reservation, error) {
	reservation, err := budget.Reserve(class, bytes)
	if err == nil {
		return reservation, nil
	}
	if !budget.Fits(class, bytes) {
		return nil, err
	}
	waiting := &waiter{class: class, bytes: bytes, granted: make(chan *Reservation, 1)}
	budget.mutex.Lock()
	budget.waiters = append(budget.waiters, waiting)
	budget.grant()
	budget.mutex.Unlock()
	select {
	case reservation := <-waiting.granted:
		return reservation, nil
	case <-ctx.Done():
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	for index, other := range budget.waiters {
		if other == waiting {
			budget.waiters = append(budget.waiters[:index], budget.waiters[index+1:]...)
			budget.grant()
			return nil, context.Cause(ctx)
		}
	}
	return <-waiting.granted, nil
}

// grant gives memory to the waiters for whom it suffices, oldest first. The caller holds
// the mutex.
func (budget *Budget) grant() {
	for len(budget.waiters) > 0 {
		first := budget.waiters[0]
		if !budget.hasRoom(first.class, first.bytes, first.bytes) {
			return
		}
		budget.hold(first.class, first.bytes)
		budget.waiters = budget.waiters[1:]
		first.granted <- &Reservation{budget: budget, class: first.class, bytes: first.bytes}
	}
}

// hasRoom reports whether a number of bytes fits that makes a reservation of a class as
// large as size. The caller holds the mutex.
func (budget *Budget) hasRoom(class Class, size, bytes int64) bool {
	if class == Overhead {
		return budget.byClass[class]+bytes <= budget.share(OverheadShare)
	}
	return budget.held+bytes <= budget.limit(class, size) && budget.byClass[class]+bytes <= budget.classLimit(class)
}

// hold adds to the bytes that a class holds. The caller holds the mutex.
func (budget *Budget) hold(class Class, bytes int64) {
	budget.byClass[class] += bytes
	if class != Overhead {
		budget.held += bytes
	}
	budget.peak = max(budget.peak, budget.held)
}

// take adds bytes to a reservation of a class and size if they fit by the shares of a
// limiting class. It returns an *ExhaustedError otherwise.
func (budget *Budget) take(class, limiting Class, size, bytes int64) error {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	ahead := int64(0)
	if (limiting == Admission || limiting == Cached) && len(budget.waiters) > 0 {
		ahead = budget.waiters[0].bytes // new requests do not overtake calls that wait
	}
	// Nothing more is needed from a full budget for a request without content.
	if bytes > 0 && !budget.hasRoom(limiting, size, bytes+ahead) {
		return &ExhaustedError{Class: limiting, Requested: bytes, Held: budget.held, Limit: budget.limit(limiting, size)}
	}
	budget.hold(class, bytes)
	return nil
}

// Grow adds a number of bytes. It returns an *ExhaustedError if they do not fit; the
// reservation keeps what it has.
func (reservation *Reservation) Grow(bytes int64) error {
	if reservation == nil {
		return nil
	}
	return reservation.grow(reservation.class, bytes)
}

// GrowSpare adds a number of bytes that the holder can do without, so that it leaves room
// for what others cannot. It returns an *ExhaustedError if they do not fit.
func (reservation *Reservation) GrowSpare(bytes int64) error {
	if reservation == nil {
		return nil
	}
	return reservation.grow(Admission, bytes)
}

// grow adds a number of bytes by the shares of a class.
func (reservation *Reservation) grow(limiting Class, bytes int64) error {
	budget := reservation.budget
	if budget == nil {
		reservation.bytes += bytes
		return nil
	}
	size := reservation.bytes + bytes
	err := budget.take(reservation.class, limiting, size, bytes)
	if err != nil && budget.reclaim != nil && limiting <= Accepted && budget.Fits(limiting, size) {
		// What is reclaimed is released through the budget, so the mutex is free.
		budget.reclaim(bytes)
		err = budget.take(reservation.class, limiting, size, bytes)
	}
	if err != nil {
		if limiting == reservation.class {
			budget.mutex.Lock()
			budget.exhausted[limiting]++
			budget.mutex.Unlock()
		}
		return err
	}
	reservation.bytes += bytes
	return nil
}

// AwaitGrow adds a number of bytes, and waits until they fit. It returns the cause of the
// context if it ends before, and an *ExhaustedError if they can never fit.
func (reservation *Reservation) AwaitGrow(ctx context.Context, bytes int64) error {
	if reservation == nil || reservation.Grow(bytes) == nil {
		return nil
	}
	added, err := reservation.budget.Await(ctx, reservation.class, bytes)
	if err != nil {
		return err
	}
	reservation.bytes += added.bytes
	return nil
}

// Accept moves the reservation to the class Accepted, by which it is allowed to grow.
func (reservation *Reservation) Accept() {
	if reservation == nil || reservation.class == Accepted {
		return
	}
	if budget := reservation.budget; budget != nil {
		budget.mutex.Lock()
		defer budget.mutex.Unlock()
		budget.byClass[reservation.class] -= reservation.bytes
		budget.byClass[Accepted] += reservation.bytes
	}
	reservation.class = Accepted
}

// Bytes returns the number of bytes that the reservation holds.
func (reservation *Reservation) Bytes() int64 {
	if reservation == nil {
		return 0
	}
	return reservation.bytes
}

// Shrink returns a number of bytes to the budget.
func (reservation *Reservation) Shrink(bytes int64) {
	bytes = min(bytes, reservation.Bytes())
	if bytes <= 0 {
		return
	}
	reservation.bytes -= bytes
	if budget := reservation.budget; budget != nil {
		budget.mutex.Lock()
		defer budget.mutex.Unlock()
		budget.hold(reservation.class, -bytes)
		budget.grant()
	}
}

// Release returns all bytes to the budget. It may be called more than once.
func (reservation *Reservation) Release() { reservation.Shrink(reservation.Bytes()) }
