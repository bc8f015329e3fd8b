package gateway

import (
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/memory"
)

const (
	// heapShare is the share of the host's memory that the Go runtime may use. The
	// rest is for the program itself, the stacks of the C library and sockets.
	heapShare = 0.7
	// baseMemory is what a host holds that serves nobody, in bytes.
	baseMemory = 5 << 20
	// reservedShare is the share of the remaining heap that can be reserved. The rest
	// is for memory that is free but not collected yet.
	reservedShare = 0.7
	// idleReclaimInterval is how often idle connections are closed for requests.
	idleReclaimInterval = time.Second
	// queuedAppendsDivisor is the part of that memory which appends to the store may
	// occupy while they wait.
	queuedAppendsDivisor = 4
)

// HeapLimit returns the memory limit of the Go runtime for a host with the given memory,
// both in bytes.
func HeapLimit(memoryBytes int64) int64 { return int64(heapShare * float64(memoryBytes)) }

// memoryCapacity returns the bytes that requests, connections and caches of a host with
// the given memory may hold together.
func memoryCapacity(memoryBytes int64) int64 {
	return max(baseMemory, int64(reservedShare*float64(HeapLimit(memoryBytes)-baseMemory)/(1+memory.OverheadShare)))
}

// reclaimMemory releases cached turns, and if they do not suffice, some of the connections
// that are idle.
func (gateway *Gateway) reclaimMemory(bytes int64) {
	if gateway.memory.HeldBy(memory.Cached) >= bytes {
		gateway.histories.Evict(bytes)
		return
	}
	gateway.callerServer.closeLongIdle(idleReclaimInterval)
}

// observeMemory records what the host holds, and logs when its memory is used up or
// suffices again.
func (gateway *Gateway) observeMemory() {
	held, peak := gateway.memory.Held()
	gateway.metrics.SetGauge("store_calls_in_flight", float64(gateway.store.InFlight()))
	gateway.metrics.SetGauge("memory_capacity_bytes", float64(gateway.memory.Capacity()))
	gateway.metrics.SetGauge("memory_reserved_bytes", float64(held))
	gateway.metrics.SetGauge("memory_reserved_peak_bytes", float64(peak))
	fields := log.Fields{"held": held, "peak": peak, "capacity": gateway.memory.Capacity(), "active": gateway.front.InFlight()}
	var refused int64
	for _, class := range memory.Classes() {
		gateway.metrics.SetGauge("memory_reserved_bytes_"+class.String(), float64(gateway.memory.HeldBy(class)))
		gateway.metrics.SetGauge("memory_refusals_"+class.String(), float64(gateway.memory.Exhausted(class)))
		fields[class.String()] = gateway.memory.HeldBy(class)
		if class != memory.Cached && class != memory.Overhead { // there is another share for these
			refused += gateway.memory.Exhausted(class)
		}
	}
	fields["refused"] = refused - gateway.memoryRefused
	exhausted := refused > gateway.memoryRefused
	gateway.memoryRefused = refused
	if exhausted == gateway.memoryShort {
		return
	}
	gateway.memoryShort = exhausted
	if exhausted {
		gateway.logger.WithFields(fields).Warn("memory for requests is used up; refusing some")
		return
	}
	gateway.logger.WithFields(fields).Info("memory for requests suffices again")
}
