package target

import (
	"time"
)

// Target is what a pool knows about one target.
type Target struct {
	address  string
	window   int
	leaving  bool
	running  map[uint64]*Request
	cached   map[uint64]int // expected cached tokens by running request
	load     float64        // expected work of the running requests, in tokens
	long     int            // running requests with a long prefill
	prefixes *prefixes
	breaker  breaker
	speed    speed
	parked   Order // requests that wait for this target alone
	index    int
}

// HeapIndex implements heap.Item.
func (target *Target) HeapIndex() *int { return &target.index }

// Address returns the address of the target.
func (target *Target) Address() string { return target.address }

// Running returns the number of permits that are out.
func (target *Target) Running() int { return len(target.running) }

// Leaving reports whether the target gets no new work.
func (target *Target) Leaving() bool { return target.leaving }

// Tripped reports whether the circuit breaker is open.
func (target *Target) Tripped() bool { return target.breaker.open }

// available reports whether the target may get a request now.
func (target *Target) available() bool {
	if target.leaving || target.breaker.open {
		return false
	}
	if target.breaker.probing {
		return len(target.running) == 0
	}
	return len(target.running) < target.window
}

// suspect returns whether a request that crashed a target before runs here.
func (target *Target) suspect(quarantine *quarantine) bool {
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

// breaker keeps a failing target out of use for growing periods.
type breaker struct {
	failures int
	open     bool
	probing  bool // closed again for a single request
	until    time.Time
}

const (
	breakerFailures = 3 // consecutive failures that open the breaker
	breakerBase     = 500 * time.Millisecond
	breakerLimit    = 30 * time.Second
)

// fail counts a failure. Jitter is a number from 0 to 1.
func (breaker *breaker) fail(now time.Time, threshold int, jitter float64) {
	breaker.failures++
	if breaker.failures < threshold && !breaker.probing {
		return
	}
	exponent := max(0, breaker.failures-threshold)
	delay := min(breakerLimit, breakerBase<<min(exponent, 10))
	breaker.open = true
	breaker.probing = false
	breaker.until = now.Add(delay + time.Duration(jitter*float64(delay)/2))
}

func (breaker *breaker) succeed() {
	*breaker = breaker.closed()
}

func (*breaker) closed() breaker { return breaker{} }

// tick lets a single request through once the delay has passed.
func (breaker *breaker) tick(now time.Time) {
	if breaker.open && !now.Before(breaker.until) {
		breaker.open = false
		breaker.probing = true
	}
}

// speed is the learned pace of a target.
type speed struct {
	prefill float64 // seconds for each prompt token that is not cached
	token   float64 // seconds for each generated token
}

const (
	initialPrefill = 0.0002
	initialToken   = 0.030
	smoothing      = 0.1
)

func newSpeed() speed { return speed{prefill: initialPrefill, token: initialToken} }

func (speed *speed) learn(report Report) {
	fresh := report.Prompt - report.Reused
	if fresh >= 64 && report.FirstByte > 0 {
		speed.prefill += smoothing * (report.FirstByte.Seconds()/float64(fresh) - speed.prefill)
	}
	if report.Output > 1 && report.Duration > report.FirstByte {
		speed.token += smoothing * ((report.Duration-report.FirstByte).Seconds()/float64(report.Output) - speed.token)
	}
}

// prefixes estimates which programs' prefixes a target holds. Entries are
// ordered by use, so that those which the target drops first go first here.
type prefixes struct {
	capacity int // tokens; learned downwards from what targets reuse
	total    int
	entries  map[string]*prefix
	head     prefix // ring of entries; head.next is the oldest
	spare    *spares
}

// spares keeps the entries that one target has dropped for the next that
// needs one.
type spares struct{ list []*prefix }

func (spares *spares) take() *prefix {
	if len(spares.list) == 0 {
		return &prefix{}
	}
	last := len(spares.list) - 1
	entry := spares.list[last]
	spares.list = spares.list[:last]
	return entry
}

type prefix struct {
	program    string
	tokens     int
	prev, next *prefix
}

const initialPrefixCapacity = 400_000

func newPrefixes(spare *spares) *prefixes {
	prefixes := &prefixes{capacity: initialPrefixCapacity, entries: make(map[string]*prefix), spare: spare}
	prefixes.head.prev, prefixes.head.next = &prefixes.head, &prefixes.head
	return prefixes
}

// held returns the tokens expected to be cached for a program.
func (prefixes *prefixes) held(program string) int {
	if entry, ok := prefixes.entries[program]; ok {
		return entry.tokens
	}
	return 0
}

// touch sets what is cached for a program after a call.
func (prefixes *prefixes) touch(program string, tokens int) {
	entry, ok := prefixes.entries[program]
	if !ok {
		entry = prefixes.spare.take()
		entry.program = program
		prefixes.entries[program] = entry
	} else {
		prefixes.unlink(entry)
		prefixes.total -= entry.tokens
	}
	entry.tokens = tokens
	prefixes.total += tokens
	entry.prev, entry.next = prefixes.head.prev, &prefixes.head
	entry.prev.next, entry.next.prev = entry, entry
	for prefixes.total > prefixes.capacity && prefixes.head.next != entry {
		prefixes.drop(prefixes.head.next.program)
	}
}

func (prefixes *prefixes) unlink(entry *prefix) {
	entry.prev.next, entry.next.prev = entry.next, entry.prev
}

// drop forgets a program.
func (prefixes *prefixes) drop(program string) bool {
	entry, ok := prefixes.entries[program]
	if !ok {
		return false
	}
	prefixes.unlink(entry)
	prefixes.total -= entry.tokens
	delete(prefixes.entries, program)
	prefixes.spare.list = append(prefixes.spare.list, entry)
	return true
}

// clear forgets everything, as after a crash of the target.
func (prefixes *prefixes) clear() {
	capacity := prefixes.capacity
	*prefixes = *newPrefixes(prefixes.spare)
	prefixes.capacity = capacity
	prefixes.head.prev, prefixes.head.next = &prefixes.head, &prefixes.head
}

// missed lowers the capacity after a target had dropped a prefix that was
// expected there.
func (prefixes *prefixes) missed() {
	prefixes.capacity = max(1000, min(prefixes.capacity, prefixes.total)*19/20)
}
