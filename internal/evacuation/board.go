// Package evacuation decides which data centres are evacuated, from the records of the
// store and from what other hosts say. It performs no I/O.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// maxRequests bounds the memory and the messages. Deployments have up to five data centres.
const maxRequests = 32

// maxAge bounds the age that another host gives, so that it can be subtracted from a time.
const maxAge = 10 * 365 * 24 * time.Hour

// State is what a record says about a data centre.
type State uint8

// States of a record.
const (
	Unrelated  State = iota // the record is about something else
	Requested               // the data centre is to be evacuated
	Withdrawn               // the record has been removed
	Unreadable              // the value cannot be decoded
)

// Record is a record of the operator's topic.
type Record struct {
	DataCentre string
	Offset     int64
	State      State
}

// Snapshot is what a host tells other hosts. It contains ages, because the clocks of
// hosts differ.
type Snapshot struct {
	End      int64              `msgpack:"e,omitempty"` // offset before which all records are taken into account; 0 if none was read
	Requests map[string]Request `msgpack:"r,omitempty"` // by data centre
}

// Request is the evacuation of a data centre in a Snapshot.
type Request struct {
	Offset    int64         `msgpack:"o,omitempty"` // of the record
	Age       time.Duration `msgpack:"a,omitempty"` // since a host first saw the record
	Evacuated bool          `msgpack:"v,omitempty"` // false if there is a record, but the sender has seen no readable one
}

// Evacuation is an evacuation that is in force.
type Evacuation struct {
	DataCentre string
	Since      time.Time // a host first saw the record
	Source     string    // where this host learned it
	Offset     int64     // of the record
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of changes.
const (
	Began   ChangeKind = iota + 1
	Lifted             // the record is gone
	Garbled            // the newest record cannot be decoded, so that the state of before stays
	Ignored            // there are too many evacuations
)

// Change is a change of the state of a data centre.
type Change struct {
	Kind ChangeKind
	Evacuation
}

// request is what is known about a data centre whose record exists.
type request struct {
	Evacuation
	evacuated  bool
	unreadable bool
}

// Board contains the evacuations that a host knows of. It is safe for concurrent use.
type Board struct {
	mutex    sync.Mutex
	end      int64 // all records before this offset are taken into account
	requests map[string]request
}

// NewBoard returns a Board without evacuations.
func NewBoard() *Board { return &Board{requests: make(map[string]request)} }

// Apply applies records that were read in order, up to the offset next. Records that
// are taken into account already have no effect.
func (board *Board) Apply(records []Record, next int64, source string, now time.Time) []Change {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var changes []Change
	for _, record := range records {
		if record.Offset < board.end {
			continue
		}
		changes = append(changes, board.apply(record, source, now)...)
		board.end = record.Offset + 1
	}
	board.end = max(board.end, next)
	return changes
}

// ApplyListing applies a complete listing of the topic, which covers all records before
// the offset end. Data centres without a record in it are no longer evacuated. A listing
// that covers less than is known, because its path lags behind, has no effect.
func (board *Board) ApplyListing(records []Record, end int64, source string, now time.Time) []Change {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if end < board.end {
		return nil
	}
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		listed[record.DataCentre] = record.State == Requested || record.State == Unreadable
	}
	changes := board.retain(func(dataCentre string) bool { return listed[dataCentre] })
	for _, record := range records {
		changes = append(changes, board.apply(record, source, now)...)
	}
	board.end = end
	return changes
}

// Merge applies what another host says, if that host has taken more records into account.
func (board *Board) Merge(snapshot Snapshot, source string, now time.Time) []Change {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if snapshot.End <= board.end || len(snapshot.Requests) > maxRequests {
		board.adoptAges(snapshot, now)
		return nil
	}
	changes := board.retain(func(dataCentre string) bool {
		_, named := snapshot.Requests[dataCentre]
		return named
	})
	for _, dataCentre := range slices.Sorted(maps.Keys(snapshot.Requests)) {
		told := snapshot.Requests[dataCentre]
		record := Record{DataCentre: dataCentre, Offset: told.Offset, State: Unreadable}
		if told.Evacuated {
			record.State = Requested
		}
		changes = append(changes, board.apply(record, source, now.Add(-told.age()))...)
	}
	board.end = snapshot.End
	return changes
}

// apply applies one record. The caller holds the mutex.
func (board *Board) apply(record Record, source string, since time.Time) []Change {
	known, exists := board.requests[record.DataCentre]
	if record.State == Unrelated || record.State == Withdrawn && !exists {
		return nil
	}
	if record.State == Withdrawn {
		delete(board.requests, record.DataCentre)
		return known.lift()
	}
	if !exists && len(board.requests) >= maxRequests {
		return []Change{{Ignored, Evacuation{DataCentre: record.DataCentre, Source: source, Offset: record.Offset}}}
	}
	if !known.evacuated {
		known.Evacuation = Evacuation{DataCentre: record.DataCentre, Since: since, Source: source, Offset: known.Offset}
	}
	repeated := known.unreadable && known.Offset == record.Offset
	was := known.evacuated
	known.Offset, known.unreadable = record.Offset, record.State == Unreadable
	known.evacuated = was || record.State == Requested
	board.requests[record.DataCentre] = known
	switch {
	case known.unreadable && !repeated:
		return []Change{{Garbled, known.Evacuation}}
	case known.evacuated && !was:
		return []Change{{Began, known.Evacuation}}
	}
	return nil
}

// retain deletes the requests of data centres for which keep returns false. The caller
// holds the mutex.
func (board *Board) retain(keep func(dataCentre string) bool) []Change {
	var changes []Change
	for _, dataCentre := range slices.Sorted(maps.Keys(board.requests)) {
		if !keep(dataCentre) {
			changes = append(changes, board.requests[dataCentre].lift()...)
			delete(board.requests, dataCentre)
		}
	}
	return changes
}

// lift returns the change that the removal of a request makes.
func (request request) lift() []Change {
	if !request.evacuated {
		return nil
	}
	return []Change{{Lifted, request.Evacuation}}
}

// adoptAges takes over when others have first seen the records that this host knows, so
// that a host which starts shows since when a data centre is evacuated. The caller holds
// the mutex.
func (board *Board) adoptAges(snapshot Snapshot, now time.Time) {
	for dataCentre, known := range board.requests {
		told, ok := snapshot.Requests[dataCentre]
		if since := now.Add(-told.age()); ok && told.Evacuated && told.Offset == known.Offset && since.Before(known.Since) {
			known.Since = since
			board.requests[dataCentre] = known
		}
	}
}

// age returns the age that another host gives, within bounds.
func (request Request) age() time.Duration { return min(max(0, request.Age), maxAge) }

// Snapshot returns what this host tells other hosts.
func (board *Board) Snapshot(now time.Time) Snapshot {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	snapshot := Snapshot{End: board.end}
	for dataCentre, known := range board.requests {
		if snapshot.Requests == nil {
			snapshot.Requests = make(map[string]Request, len(board.requests))
		}
		snapshot.Requests[dataCentre] = Request{Offset: known.Offset, Age: max(0, now.Sub(known.Since)), Evacuated: known.evacuated}
	}
	return snapshot
}

// Evacuations returns the evacuations in force, ordered by data centre.
func (board *Board) Evacuations() []Evacuation {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var evacuations []Evacuation
	for _, dataCentre := range slices.Sorted(maps.Keys(board.requests)) {
		if known := board.requests[dataCentre]; known.evacuated {
			evacuations = append(evacuations, known.Evacuation)
		}
	}
	return evacuations
}
