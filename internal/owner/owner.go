package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/worker"
)

// Peers sends requests to the other hosts of the data centre.
type Peers interface {
	// Replicate asks another host to store a turn in memory and reports whether
	// one did.
	Replicate(ctx context.Context, request ReplicateRequest) bool
	// Gather fences a slot on the other hosts and returns their responses.
	Gather(ctx context.Context, request GatherRequest) []GatherResponse
	// Renew asks witnesses, identified by their incarnations, to renew this
	// host's leases.
	Renew(ctx context.Context, witnesses []string, request RenewRequest) []RenewResponse
}

// Runner runs calls on targets.
type Runner interface {
	// Run runs a call, passes its output to onText as it arrives and returns
	// the result.
	Run(ctx context.Context, dispatch program.Dispatch, onText func(string)) program.DispatchResult
	// Release frees the resources that targets keep for a program.
	Release(ctx context.Context, program string)
}

// ReplicateRequest asks a host to store a turn in memory until it is committed.
type ReplicateRequest struct {
	Slot  int          `msgpack:"slot"`
	Epoch uint64       `msgpack:"epoch"`
	Entry ledger.Entry `msgpack:"entry"`
}

// GatherRequest asks a host to fence a slot and to return the turns of that
// slot that it has in memory.
type GatherRequest struct {
	Slot  int    `msgpack:"slot"`
	Epoch uint64 `msgpack:"epoch"`
}

// GatherResponse contains the turns that a host has in memory for a slot. From
// then on, the host refuses earlier epochs of the slot.
type GatherResponse struct {
	Incarnation string         `msgpack:"incarnation"`
	Entries     []ledger.Entry `msgpack:"entries"`
}

// RenewRequest asks a witness to renew the leases of slots in their epochs.
type RenewRequest struct {
	Epochs map[int]uint64 `msgpack:"epochs"`
}

// RenewResponse lists the slots whose leases a witness refuses to renew.
type RenewResponse struct {
	Incarnation string `msgpack:"incarnation"`
	Refused     []int  `msgpack:"refused"`
}

// Settings configures an Owner.
type Settings struct {
	DataCentre     string
	Program        program.Settings
	AppendInterval time.Duration // minimum time between two appends to a stream
	LogRetention   time.Duration // how long the log keeps records; zero disables the refresh of older records
}

// Owner runs the program state machine of a host and performs its effects.
type Owner struct {
	settings       Settings
	log            platform.Log
	clock          clockwork.Clock
	metrics        *metric.Metrics
	peers          Peers
	runner         Runner
	tail           *platform.Tail
	loop           *worker.Loop
	ledgerWriter   *batchWriter[ledger.Record]
	historyWriter  *batchWriter[ledger.Entry]
	nextReplyToken atomic.Uint64
	ownerships     atomic.Pointer[[ledger.SlotCount]Ownership]
	renewedUntil   [ledger.SlotCount]atomic.Int64 // uptime in nanoseconds until which witnesses have renewed a slot's lease
	caughtUp       atomic.Bool

	// The fields below are accessed only by the loop, except that goroutines
	// which the loop starts read ctx.
	ctx         context.Context
	machine     *program.Machine
	replicas    *program.Replicas
	waiters     map[program.ReplyToken]*waiter
	running     map[callKey]*runningCall
	refreshAt   time.Time
	renewAt     time.Time
	offsetTimes []offsetTime
}

// Ownership is the published ownership state of one slot.
type Ownership struct {
	Epoch uint64
	Owner host.Owner
	// Ready is set if this host owns the slot and has recovered the uncommitted
	// turns of the previous owner.
	Ready bool
	// Fenced is set if no earlier owner can act on a lease renewed by
	// witnesses.
	Fenced bool
}

// offsetTime is the time at which an offset of the ledger was read. It
// determines which records must be repeated before they expire.
type offsetTime struct {
	offset int64
	readAt time.Time
}

type callKey struct{ program, call string }

type runningCall struct {
	cancel context.CancelFunc
	stream *textStream
}

// waiter receives the reply to a pending request.
type waiter struct {
	reply  chan program.Reply
	stream chan *textStream
}

// pollWait is the long-poll timeout of the ledger. It must be well below the
// lease on a slot, which is measured from the age of the ledger view.
const pollWait = 400 * time.Millisecond

const (
	loopQueueSize      = 8192
	tickInterval       = 50 * time.Millisecond
	gatherTimeout      = 800 * time.Millisecond
	replicateTimeout   = time.Second
	loadTimeout        = 10 * time.Second
	offsetTimeInterval = time.Minute
)

// New returns an owner with an empty state. It writes records and history
// through the appender.
func New(settings Settings, log platform.Log, appender Appender, clock clockwork.Clock, metrics *metric.Metrics, peers Peers, runner Runner) *Owner {
	owner := &Owner{
		settings: settings, log: log, clock: clock, metrics: metrics, peers: peers, runner: runner,
		tail:    platform.NewTail(log, platform.LedgerStream(settings.DataCentre), pollWait, clock),
		loop:    worker.NewLoop(loopQueueSize),
		machine: program.NewMachine(settings.Program), replicas: program.NewReplicas(),
		waiters: make(map[program.ReplyToken]*waiter), running: make(map[callKey]*runningCall),
	}
	owner.ownerships.Store(&[ledger.SlotCount]Ownership{})
	owner.ledgerWriter = newBatchWriter(appender, clock, metrics, platform.LedgerStream(settings.DataCentre),
		settings.AppendInterval, ledger.EncodeBatch, nil)
	owner.historyWriter = newBatchWriter(appender, clock, metrics, platform.HistoryStream(settings.DataCentre),
		settings.AppendInterval, ledger.EncodeEntries, owner.postHistoryStored)
	return owner
}

// Run runs the owner until the context is done.
func (owner *Owner) Run(ctx context.Context) {
	owner.ctx = ctx
	go owner.ledgerWriter.run(ctx)
	go owner.historyWriter.run(ctx)
	go owner.tail.Run(ctx, owner.readPage)
	owner.loop.Run(ctx, owner.clock, tickInterval, owner.tick)
}

// readPage passes a page of the ledger to the state machine.
func (owner *Owner) readPage(page platform.Page, _ time.Time) {
	reads := make([]program.LedgerRead, 0, len(page.Entries))
	for _, entry := range page.Entries {
		records, dropped, err := ledger.DecodeBatch(entry.Data)
		if err != nil || dropped > 0 {
			owner.metrics.Count("ledger_records_skipped")
		}
		reads = append(reads, program.LedgerRead{Offset: entry.Offset, Records: records})
	}
	atEnd := owner.tail.Next() >= page.End
	owner.loop.Do(func() {
		for _, read := range reads {
			owner.step(read)
			owner.removeCommittedReplicas(read.Records)
		}
		owner.publish()
		if atEnd {
			owner.caughtUp.Store(true)
		}
		if count := len(reads); count > 0 {
			owner.recordOffsetTime(reads[count-1].Offset)
		}
	})
}

// recordOffsetTime records when an offset was read, at most once per interval.
func (owner *Owner) recordOffsetTime(offset int64) {
	now := owner.clock.Now()
	if count := len(owner.offsetTimes); count > 0 && now.Sub(owner.offsetTimes[count-1].readAt) < offsetTimeInterval {
		return
	}
	owner.offsetTimes = append(owner.offsetTimes, offsetTime{offset: offset, readAt: now})
}

func (owner *Owner) removeCommittedReplicas(records []ledger.Record) {
	for _, record := range records {
		if record.Turn != nil {
			owner.replicas.DropCommitted(record.Program, record.Turn.Number)
		}
	}
}

// publish makes the ownership state of the slots available to other goroutines.
func (owner *Owner) publish() {
	var ownerships [ledger.SlotCount]Ownership
	for number := range ownerships {
		slot := owner.machine.LedgerState().Slot(number)
		ownerships[number] = Ownership{
			Epoch: slot.Epoch(), Owner: host.Owner{Host: slot.Host(), Incarnation: slot.Incarnation()},
			Ready: owner.machine.Owns(number), Fenced: owner.machine.Fenced(number),
		}
	}
	owner.ownerships.Store(&ownerships)
}

// Owners returns the ownership state of the slots as of the last read of the
// ledger.
func (owner *Owner) Owners() *[ledger.SlotCount]Ownership { return owner.ownerships.Load() }

// CaughtUp reports whether the ledger has been read to its end at least once.
func (owner *Owner) CaughtUp() bool { return owner.caughtUp.Load() }

// LedgerAge returns the age of the ledger view. It reports false if there is
// none yet.
func (owner *Owner) LedgerAge() (time.Duration, bool) { return owner.tail.Age() }

// LedgerNext returns the next offset of the ledger to be read.
func (owner *Owner) LedgerNext() int64 { return owner.tail.Next() }

func (owner *Owner) tick() {
	owner.step(program.Tick{})
	owner.refresh()
	owner.renew()
	owner.publish()
	owner.metrics.SetGauge("programs", float64(owner.machine.Len()))
	owner.metrics.SetGauge("book_programs", float64(owner.machine.LedgerState().Len()))
	owner.metrics.SetGauge("replicas", float64(owner.replicas.Len()))
}

// scheduleEarlyRefresh moves the next refresh forward after a takeover, because
// the history of the earlier owner may be close to its expiry.
func (owner *Owner) scheduleEarlyRefresh() {
	early := owner.clock.Now().Add(owner.settings.LogRetention / 16)
	if owner.refreshAt.IsZero() || early.Before(owner.refreshAt) {
		owner.refreshAt = early
	}
}

// refresh repeats, once in every quarter of the log's retention, the records
// that are older than such a quarter, so that none expires.
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
	for len(owner.offsetTimes) > 0 && now.Sub(owner.offsetTimes[0].readAt) > owner.settings.LogRetention/4 {
		before = owner.offsetTimes[0].offset + 1
		owner.offsetTimes = owner.offsetTimes[1:]
	}
	owner.step(program.Refresh{Before: before, Age: owner.settings.LogRetention / 4})
}

// StoreReplica stores a turn of another host's program in memory. It reports
// false if the epoch of the request is outdated or there is no room.
func (owner *Owner) StoreReplica(request ReplicateRequest) bool {
	accepted := false
	owner.loop.Do(func() {
		if owner.machine.LedgerState().Slot(request.Slot).Epoch() <= request.Epoch {
			accepted = owner.replicas.StoreReplica(request.Slot, request.Epoch, request.Entry)
		}
	})
	return accepted
}

// HandleGather handles the request of another host to gather a slot. It fences
// the slot and returns the turns that this host has in memory for it. If this
// host owns the slot in an earlier epoch, it gives up its lease.
func (owner *Owner) HandleGather(request GatherRequest) GatherResponse {
	var response GatherResponse
	owner.loop.Do(func() { response = owner.fenceSlot(request) })
	return response
}

func (owner *Owner) fenceSlot(request GatherRequest) GatherResponse {
	return GatherResponse{
		Incarnation: owner.settings.Program.Incarnation,
		Entries:     owner.replicas.Gather(request.Slot, request.Epoch),
	}
}

// ClaimSlots starts claiming the slots. The witnesses are the incarnations that
// will renew the leases of the slots while the log is unavailable.
func (owner *Owner) ClaimSlots(slots []int, witnesses []string) {
	if len(slots) > 0 {
		owner.post(program.ClaimRequest{Slots: slots, Witnesses: witnesses})
	}
}

// SetAlive sets the incarnations of hosts that are alive.
func (owner *Owner) SetAlive(incarnations []string) {
	owner.post(program.HostsAlive{Incarnations: incarnations})
}

// SetWorkspaces sets the workspaces that exist. Programs of other workspaces
// are ended.
func (owner *Owner) SetWorkspaces(names map[string]bool) {
	owner.post(program.WorkspacesChanged{Names: names})
}
