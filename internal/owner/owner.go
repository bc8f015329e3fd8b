package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/duty"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/program"
)

// Peers reaches the other hosts of the data centre.
type Peers interface {
	// Replicate asks another host to hold a turn. It reports whether one does.
	Replicate(ctx context.Context, message ReplicateRequest) bool
	// Gather fences a slot on the other hosts and returns their answers.
	Gather(ctx context.Context, message GatherRequest) []GatherAnswer
	// Renew asks witnesses, named by their incarnations, to back this host's
	// ownership of slots.
	Renew(ctx context.Context, witnesses []string, message RenewRequest) []RenewAnswer
}

// Runner runs calls on targets.
type Runner interface {
	Run(ctx context.Context, dispatch program.Dispatch, each func(string)) program.Answered
	Release(ctx context.Context, program string)
}

// ReplicateRequest asks a host to hold an answered turn.
type ReplicateRequest struct {
	Slot  int          `msgpack:"slot"`
	Epoch uint64       `msgpack:"epoch"`
	Entry ledger.Entry `msgpack:"entry"`
}

// GatherRequest asks a host for the turns that it holds of a slot.
type GatherRequest struct {
	Slot  int    `msgpack:"slot"`
	Epoch uint64 `msgpack:"epoch"`
}

// GatherAnswer returns what a host holds of a slot. The host refuses earlier
// epochs from then on.
type GatherAnswer struct {
	Incarnation string         `msgpack:"incarnation"`
	Entries     []ledger.Entry `msgpack:"entries"`
}

// RenewRequest asks a witness to back the ownership of slots.
type RenewRequest struct {
	Epochs map[int]uint64 `msgpack:"epochs"`
}

// RenewAnswer names the slots that a witness does not back any more.
type RenewAnswer struct {
	Incarnation string `msgpack:"incarnation"`
	Refused     []int  `msgpack:"refused"`
}

// Settings configures an Owner.
type Settings struct {
	DataCentre     string
	Program        program.Settings
	AppendInterval time.Duration
	LogRetention   time.Duration
}

// Owner drives the program machine of a host.
type Owner struct {
	settings Settings
	log      platform.Log
	clock    clockwork.Clock
	metrics  *metric.Metrics
	peers    Peers
	runner   Runner
	tail     *platform.Tail
	loop     *duty.Loop
	ledger   *groupWriter[ledger.Record]
	history  *groupWriter[ledger.Entry]
	nextID   atomic.Uint64
	owners   atomic.Pointer[[ledger.SlotCount]Ownership]
	renewed  [ledger.SlotCount]atomic.Int64 // clock time up to which witnesses back a slot
	caughtUp atomic.Bool

	// The fields below belong to the loop.
	ctx       context.Context
	machine   *program.Machine
	replicas  *program.Replicas
	waiters   map[program.Token]*waiter
	running   map[callKey]*runningCall
	refreshAt time.Time
	renewAt   time.Time
	marks     []mark
}

// Ownership is the published state of one slot.
type Ownership struct {
	Epoch uint64
	Owner host.Owner
	Ready bool
	// Fenced tells that no earlier owner can act on a witnessed lease.
	Fenced bool
}

// mark remembers when an offset was read, for the refresh before expiry.
type mark struct {
	offset int64
	at     time.Time
}

type callKey struct{ program, call string }

type runningCall struct {
	cancel context.CancelFunc
	stream *textStream
}

// waiter is a request whose answer is due.
type waiter struct {
	reply  chan program.Reply
	stream chan *textStream
}

// pollWait is the long poll of the ledger. It stays well below the lease of
// holders, which rests on the age of the view.
const pollWait = 400 * time.Millisecond

const (
	ownerRing     = 8192
	ownerTick     = 50 * time.Millisecond
	gatherTimeout = 800 * time.Millisecond
	replicateWait = time.Second
	loadTimeout   = 10 * time.Second
	markInterval  = time.Minute
)

// New returns an owner that has read nothing yet.
// The appender writes its records and history to the log.
func New(settings Settings, log platform.Log, appender Appender, clock clockwork.Clock, metrics *metric.Metrics, peers Peers, runner Runner) *Owner {
	owner := &Owner{
		settings: settings, log: log, clock: clock, metrics: metrics, peers: peers, runner: runner,
		tail:    platform.NewTail(log, platform.LedgerStream(settings.DataCentre), pollWait, clock),
		loop:    duty.NewLoop(ownerRing),
		machine: program.NewMachine(settings.Program), replicas: program.NewReplicas(),
		waiters: make(map[program.Token]*waiter), running: make(map[callKey]*runningCall),
	}
	owner.owners.Store(&[ledger.SlotCount]Ownership{})
	owner.ledger = newGroupWriter(appender, clock, metrics, platform.LedgerStream(settings.DataCentre),
		settings.AppendInterval, ledger.EncodeBatch, nil)
	owner.history = newGroupWriter(appender, clock, metrics, platform.HistoryStream(settings.DataCentre),
		settings.AppendInterval, ledger.EncodeEntries, owner.stored)
	return owner
}

// Run drives the machine until the context ends.
func (owner *Owner) Run(ctx context.Context) {
	owner.ctx = ctx
	go owner.ledger.run(ctx)
	go owner.history.run(ctx)
	go owner.tail.Run(ctx, owner.readPage)
	owner.loop.Run(ctx, owner.clock, ownerTick, owner.tick)
}

// readPage hands a page of the ledger to the machine.
func (owner *Owner) readPage(page platform.Page, _ time.Time) {
	reads := make([]program.Read, 0, len(page.Entries))
	for _, entry := range page.Entries {
		records, dropped, err := ledger.DecodeBatch(entry.Data)
		if err != nil || dropped > 0 {
			owner.metrics.Count("ledger_records_skipped")
		}
		reads = append(reads, program.Read{Offset: entry.Offset, Records: records})
	}
	end := owner.tail.Next() >= page.End
	owner.loop.Do(func() {
		for _, read := range reads {
			owner.step(read)
			owner.forgetReplicas(read.Records)
		}
		owner.publish()
		if end {
			owner.caughtUp.Store(true)
		}
		if count := len(reads); count > 0 {
			owner.mark(reads[count-1].Offset)
		}
	})
}

// mark notes when an offset was read, at most once in an interval.
func (owner *Owner) mark(offset int64) {
	now := owner.clock.Now()
	if count := len(owner.marks); count > 0 && now.Sub(owner.marks[count-1].at) < markInterval {
		return
	}
	owner.marks = append(owner.marks, mark{offset: offset, at: now})
}

func (owner *Owner) forgetReplicas(records []ledger.Record) {
	for _, record := range records {
		if record.Turn != nil {
			owner.replicas.Committed(record.Program, record.Turn.Number)
		}
	}
}

// publish makes the owners of the slots known to other goroutines.
func (owner *Owner) publish() {
	var owners [ledger.SlotCount]Ownership
	for number := range owners {
		slot := owner.machine.Book().Slot(number)
		owners[number] = Ownership{
			Epoch: slot.Epoch(), Owner: host.Owner{Host: slot.Host(), Incarnation: slot.Incarnation()},
			Ready: owner.machine.Owns(number), Fenced: owner.machine.Fenced(number),
		}
	}
	owner.owners.Store(&owners)
}

// Owners returns the owners of the slots as of the last read.
func (owner *Owner) Owners() *[ledger.SlotCount]Ownership { return owner.owners.Load() }

// CaughtUp reports whether the ledger has been read to its end once.
func (owner *Owner) CaughtUp() bool { return owner.caughtUp.Load() }

// LedgerAge returns the age of the view of the ledger.
func (owner *Owner) LedgerAge() (time.Duration, bool) { return owner.tail.Age() }

// LedgerNext returns the next offset of the ledger.
func (owner *Owner) LedgerNext() int64 { return owner.tail.Next() }

func (owner *Owner) tick() {
	owner.step(program.Tick{})
	owner.refresh()
	owner.renew()
	owner.publish()
	owner.metrics.Gauge("programs", float64(owner.machine.Len()))
	owner.metrics.Gauge("book_programs", float64(owner.machine.Book().Len()))
	owner.metrics.Gauge("replicas", float64(owner.replicas.Len()))
}

// refreshSoon brings the next refresh forward after a takeover: the histories
// of an earlier owner may be close to their expiry.
func (owner *Owner) refreshSoon() {
	soon := owner.clock.Now().Add(owner.settings.LogRetention / 16)
	if owner.refreshAt.IsZero() || soon.Before(owner.refreshAt) {
		owner.refreshAt = soon
	}
}

// refresh repeats records before the log drops them.
func (owner *Owner) refresh() {
	now := owner.clock.Now()
	if owner.settings.LogRetention <= 0 {
		return
	}
	if owner.refreshAt.IsZero() {
		owner.refreshAt = now.Add(owner.settings.LogRetention / 4)
	}
	if now.Before(owner.refreshAt) {
		return
	}
	owner.refreshAt = now.Add(owner.settings.LogRetention / 4)
	before := int64(0)
	for len(owner.marks) > 0 && now.Sub(owner.marks[0].at) > owner.settings.LogRetention/4 {
		before = owner.marks[0].offset + 1
		owner.marks = owner.marks[1:]
	}
	owner.step(program.Refresh{Before: before, Age: owner.settings.LogRetention / 4})
}

// Hold keeps a turn of another host's program.
func (owner *Owner) Hold(request ReplicateRequest) bool {
	held := false
	owner.loop.Do(func() {
		if owner.machine.Book().Slot(request.Slot).Epoch() <= request.Epoch {
			held = owner.replicas.Hold(request.Slot, request.Epoch, request.Entry)
		}
	})
	return held
}

// Surrender fences a slot and returns the turns held for it. A host that owns
// the slot in an earlier epoch gives up its lease.
func (owner *Owner) Surrender(request GatherRequest) GatherAnswer {
	var answer GatherAnswer
	owner.loop.Do(func() { answer = owner.surrender(request) })
	return answer
}

func (owner *Owner) surrender(request GatherRequest) GatherAnswer {
	return GatherAnswer{
		Incarnation: owner.settings.Program.Incarnation,
		Entries:     owner.replicas.Gather(request.Slot, request.Epoch),
	}
}

// Want asks for the ownership of slots, with the incarnations that will
// witness it.
func (owner *Owner) Want(slots []int, witnesses []string) {
	if len(slots) > 0 {
		owner.post(program.SlotsWanted{Slots: slots, Witnesses: witnesses})
	}
}

// SetAlive tells which incarnations of hosts are alive.
func (owner *Owner) SetAlive(incarnations []string) {
	owner.post(program.HostsAlive{Incarnations: incarnations})
}

// SetWorkspaces ends the programs of workspaces that exist no more.
func (owner *Owner) SetWorkspaces(names map[string]bool) {
	owner.post(program.WorkspacesChanged{Names: names})
}
