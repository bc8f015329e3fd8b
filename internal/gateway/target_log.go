package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/store"
	"github.com/godwitspread/godwitspread/platform"
)

const (
	// heartbeatMargin is the factor by which targets may report more often than at each
	// heartbeat.
	heartbeatMargin = 1.5
	// maxLogReads is the number of reads of the log of the targets' entries. Each read
	// that fails because its first records have expired halves the part that is read.
	maxLogReads = 12
	// logRecordsPerReport is how many records of the log are read for each report that
	// the targets make within the window: some targets have been replaced.
	logRecordsPerReport = 2
)

// targetLog reads the software versions of the recent past from the log of the targets'
// entries, for a host that was not running then. The records carry no time, but targets
// report at each heartbeat and count their reports, so that the reports of a target that
// has been running for long measure the time.
type targetLog struct {
	store     store.Store
	heartbeat time.Duration
	logger    log.Interface

	mutex    sync.Mutex
	window   time.Duration // that was read; 0 before the first read
	complete bool          // the log covers the window
	versions map[string][]string
}

// RecentVersions implements origin.Targets. It reads the log once: later versions are
// known from the entries that this host follows.
func (targetLog *targetLog) RecentVersions(ctx context.Context, service string, window time.Duration) ([]string, bool) {
	targetLog.mutex.Lock()
	defer targetLog.mutex.Unlock()
	if targetLog.window < window {
		records, err := targetLog.read(ctx, window)
		if err != nil {
			targetLog.logger.WithError(err).Info("log of the targets' entries could not be read")
			return nil, false
		}
		targetLog.versions, targetLog.complete = versionsWithin(records, window, targetLog.heartbeat)
		targetLog.window = window
		targetLog.logger.WithFields(log.Fields{"records": len(records), "window_ms": window.Milliseconds(), "complete": targetLog.complete, "versions": targetLog.versions}).Info("versions of targets read from the log")
	}
	return targetLog.versions[service], targetLog.complete
}

// read returns the newest part of the log that should cover a window of time.
func (targetLog *targetLog) read(ctx context.Context, window time.Duration) ([]store.Record, error) {
	entries := 0
	end, err := store.Scan(ctx, targetLog.store, platform.TargetTopic, 0, func(page []store.Record) { entries += len(page) })
	if err != nil {
		return nil, err
	}
	reports := int64(heartbeatMargin*float64(window)/float64(max(targetLog.heartbeat, time.Millisecond))) + 2
	from := max(0, end-logRecordsPerReport*reports*int64(entries))
	var records []store.Record
	for range maxLogReads {
		page, err := targetLog.store.Read(ctx, store.Read{Topic: platform.TargetTopic, From: from})
		switch {
		case errors.Is(err, store.ErrTrimmed):
			from = end - (end-from)/2
			continue
		case err != nil:
			return nil, err
		}
		records = append(records, page.Records...)
		if page.Next >= end || len(page.Records) == 0 {
			return records, nil
		}
		from = page.Next
	}
	return nil, fmt.Errorf("log of the targets' entries has more records than %d reads return", maxLogReads)
}

// versionsWithin returns the versions of each service in a window of time up to the last
// record. It returns false if no target has made enough reports in the records to
// show that they cover the window. A report that could not be written makes the window
// longer, never shorter.
func versionsWithin(records []store.Record, window, heartbeat time.Duration) (map[string][]string, bool) {
	type boot struct {
		id          string
		startMillis int64
	}
	type reports struct {
		last      int64 // highest number
		positions []int // of the records with increasing numbers
	}
	boots := make(map[boot]*reports)
	for position, record := range records {
		number, start, err := platform.TargetReport(record.Value)
		if err != nil || start <= 0 {
			continue
		}
		key := boot{record.Key, start}
		if boots[key] == nil {
			boots[key] = &reports{last: number - 1}
		}
		if counted := boots[key]; number > counted.last {
			counted.last, counted.positions = number, append(counted.positions, position)
		}
	}
	needed := int(heartbeatMargin*float64(window)/float64(max(heartbeat, time.Millisecond))) + 1
	first, complete := len(records), false
	for _, counted := range boots {
		if earlier := len(counted.positions) - 1 - needed; earlier >= 0 {
			first, complete = min(first, counted.positions[earlier]), true
		}
	}
	if !complete {
		first = 0
	}
	found := make(map[string]map[string]bool)
	for _, record := range records[first:] {
		target, err := platform.DecodeTarget(record.Key, record.Value)
		if err != nil {
			continue
		}
		if found[target.Service] == nil {
			found[target.Service] = make(map[string]bool)
		}
		found[target.Service][target.Version] = true
	}
	versions := make(map[string][]string, len(found))
	for service, set := range found {
		versions[service] = slices.Sorted(maps.Keys(set))
	}
	return versions, complete
}
