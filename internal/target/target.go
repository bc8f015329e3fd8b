package target

import (
	"time"
)

// Target is the state that a pool keeps about one target.
type Target struct {
	address   string
	window    int
	leaving   bool
	running   map[uint64]*Request
	cached    map[uint64]int // expected cached tokens by running request
	load      float64        // expected work of the running requests, in output tokens
	longCalls int            // running requests with a long uncached prompt
	prefixes  *prefixCache
	breaker   breaker
	speed     speed
	parked    Queue // requests that wait for this target only
	index     int
}

// HeapIndex implements heap.Item.
func (target *Target) HeapIndex() *int { return &target.index }

// Address returns the address of the target.
func (target *Target) Address() string { return target.address }

// Running returns the number of unsettled permits for the target.
func (target *Target) Running() int { return len(target.running) }

// Leaving reports whether the target gets no new work.
func (target *Target) Leaving() bool { return target.leaving }

// Tripped reports whether the circuit breaker is open.
func (target *Target) Tripped() bool { return target.breaker.open }

// available reports whether the target can accept a request now. A half-open
// target accepts one request at a time.
func (target *Target) available() bool {
	if target.leaving || target.breaker.open {
		return false
	}
	if target.breaker.halfOpen {
		return len(target.running) == 0
	}
	return len(target.running) < target.window
}

// runsSuspect reports whether a request suspected of an earlier crash is
// running on the target.
func (target *Target) runsSuspect(quarantine *quarantine) bool {
	for _, request := range target.running {
		if quarantine.suspected(request) {
			return true
		}
	}
	return false
}

func lessLoaded(a, b *Target) bool {
	if available := a.available(); available != b.available() {
		return available
	}
	if a.load != b.load {
		return a.load < b.load
	}
	if len(a.running) != len(b.running) {
		return len(a.running) < len(b.running)
	}
	return a.address < b.address
}

// breaker is a circuit breaker. It stays open for a period that doubles with
// each further failure.
type breaker struct {
	failures  int
	open      bool
	halfOpen  bool // a single probe request is allowed
	openUntil time.Time
}

const (
	// breakerFailures is the number of consecutive failures that open the
	// breaker. A crash or a refused connection opens it at once.
	breakerFailures  = 3
	breakerBaseDelay = 500 * time.Millisecond
	breakerMaxDelay  = 30 * time.Second
)

// recordFailure counts a failure and opens the breaker at the threshold, or at
// once if it was half-open. Jitter is a number from 0 to 1.
func (breaker *breaker) recordFailure(now time.Time, threshold int, jitter float64) {
	breaker.failures++
	if breaker.failures < threshold && !breaker.halfOpen {
		return
	}
	exponent := max(0, breaker.failures-threshold)
	// The limit of the exponent prevents an overflow of the delay.
	delay := min(breakerMaxDelay, breakerBaseDelay<<min(exponent, 10))
	breaker.open = true
	breaker.halfOpen = false
	breaker.openUntil = now.Add(delay + time.Duration(jitter*float64(delay)/2))
}

func (breaker *breaker) recordSuccess() {
	*breaker = breaker.closed()
}

func (*breaker) closed() breaker { return breaker{} }

// tick half-opens the breaker once its delay has passed.
func (breaker *breaker) tick(now time.Time) {
	if breaker.open && !now.Before(breaker.openUntil) {
		breaker.open = false
		breaker.halfOpen = true
	}
}

// speed is the observed speed of a target, as exponential moving averages.
type speed struct {
	secondsPerPrefillToken float64 // prompt tokens that are not cached
	secondsPerOutputToken  float64
}

const (
	initialSecondsPerPrefillToken = 0.0002
	initialSecondsPerOutputToken  = 0.030
	smoothing                     = 0.1 // weight of a new observation in the averages
)

func newSpeed() speed {
	return speed{secondsPerPrefillToken: initialSecondsPerPrefillToken, secondsPerOutputToken: initialSecondsPerOutputToken}
}

func (speed *speed) observe(report Report) {
	uncached := report.Prompt - report.Reused
	if uncached >= 64 && report.FirstByte > 0 {
		speed.secondsPerPrefillToken += smoothing * (report.FirstByte.Seconds()/float64(uncached) - speed.secondsPerPrefillToken)
	}
	if report.Output > 1 && report.Duration > report.FirstByte {
		speed.secondsPerOutputToken += smoothing * ((report.Duration-report.FirstByte).Seconds()/float64(report.Output) - speed.secondsPerOutputToken)
	}
}

// prefixCache estimates which programs' prefixes are in the cache of a target.
// It evicts the least recently used entry first, as targets do.
type prefixCache struct {
	capacity int // in tokens; lowered when the target reuses less than expected
	total    int
	entries  map[string]*prefixEntry
	head     prefixEntry // sentinel of a ring; head.next is the least recently used
	freeList *prefixFreeList
}

// prefixFreeList keeps evicted entries for reuse by the caches of all targets,
// which saves allocations.
type prefixFreeList struct{ list []*prefixEntry }

func (freeList *prefixFreeList) get() *prefixEntry {
	if len(freeList.list) == 0 {
		return &prefixEntry{}
	}
	last := len(freeList.list) - 1
	entry := freeList.list[last]
	freeList.list = freeList.list[:last]
	return entry
}

type prefixEntry struct {
	program    string
	tokens     int
	prev, next *prefixEntry
}

const initialPrefixCapacity = 400_000 // tokens

func newPrefixCache(freeList *prefixFreeList) *prefixCache {
	cache := &prefixCache{capacity: initialPrefixCapacity, entries: make(map[string]*prefixEntry), freeList: freeList}
	cache.head.prev, cache.head.next = &cache.head, &cache.head
	return cache
}

// tokens returns the number of tokens expected to be cached for a program.
func (cache *prefixCache) tokens(program string) int {
	if entry, ok := cache.entries[program]; ok {
		return entry.tokens
	}
	return 0
}

// record sets the number of tokens cached for a program after a call, and
// evicts other programs if the capacity is exceeded.
func (cache *prefixCache) record(program string, tokens int) {
	entry, ok := cache.entries[program]
	if !ok {
		entry = cache.freeList.get()
		entry.program = program
		cache.entries[program] = entry
	} else {
		cache.unlink(entry)
		cache.total -= entry.tokens
	}
	entry.tokens = tokens
	cache.total += tokens
	entry.prev, entry.next = cache.head.prev, &cache.head
	entry.prev.next, entry.next.prev = entry, entry
	for cache.total > cache.capacity && cache.head.next != entry {
		cache.drop(cache.head.next.program)
	}
}

func (cache *prefixCache) unlink(entry *prefixEntry) {
	entry.prev.next, entry.next.prev = entry.next, entry.prev
}

// drop removes the entry of a program and reports whether there was one.
func (cache *prefixCache) drop(program string) bool {
	entry, ok := cache.entries[program]
	if !ok {
		return false
	}
	cache.unlink(entry)
	cache.total -= entry.tokens
	delete(cache.entries, program)
	cache.freeList.list = append(cache.freeList.list, entry)
	return true
}

// clear removes all entries, because a crashed target loses its cache.
func (cache *prefixCache) clear() {
	capacity := cache.capacity
	*cache = *newPrefixCache(cache.freeList)
	cache.capacity = capacity
	cache.head.prev, cache.head.next = &cache.head, &cache.head
}

// shrinkCapacity lowers the estimated capacity to 95% of the recorded tokens, but
// not below 1000, after the target had evicted a prefix that was expected to be
// cached.
func (cache *prefixCache) shrinkCapacity() {
	cache.capacity = max(1000, min(cache.capacity, cache.total)*19/20)
}
