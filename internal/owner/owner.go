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
	"github.com/godwitspread/godwitspread/internal/refusal"
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
)

// New returns an owner that has read nothing yet.
func New(settings Settings, log platform.Log, clock clockwork.Clock, metrics *metric.Metrics, peers Peers, runner Runner) *Owner {
	owner := &Owner{
		settings: settings, log: log, clock: clock, metrics: metrics, peers: peers, runner: runner,
		tail:    platform.NewTail(log, platform.LedgerStream(settings.DataCentre), pollWait, clock),
		loop:    duty.NewLoop(ownerRing),
		machine: program.NewMachine(settings.Program), replicas: program.NewReplicas(),
		waiters: make(map[program.Token]*waiter), running: make(map[callKey]*runningCall),
	}
	owner.owners.Store(&[ledger.SlotCount]Ownership{})
	owner.ledger = newGroupWriter(log, clock, metrics, platform.LedgerStream(settings.DataCentre),
		settings.AppendInterval, ledger.EncodeBatch, nil)
	owner.history = newGroupWriter(log, clock, metrics, platform.HistoryStream(settings.DataCentre),
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
			owner.marks = append(owner.marks, mark{offset: reads[count-1].Offset, at: owner.clock.Now()})
		}
	})
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

// step runs the machine and carries out its effects. It belongs to the loop.
func (owner *Owner) step(event program.Event) {
	for _, effect := range owner.machine.Step(owner.clock.Now(), event) {
		owner.perform(effect)
	}
}

func (owner *Owner) perform(effect program.Effect) {
	switch effect := effect.(type) {
	case program.Append:
		for _, record := range effect.Records {
			if !owner.ledger.write(record) {
				owner.metrics.Count("ledger_ring_full")
			}
		}
	case program.Store:
		if !owner.history.write(effect.Entry) {
			owner.metrics.Count("history_ring_full")
		}
	case program.Load:
		go owner.load(effect)
	case program.Replicate:
		go owner.replicate(effect)
	case program.Gather:
		go owner.gather(effect)
	case program.Dispatch:
		owner.dispatch(effect)
	case program.Attach:
		owner.attach(effect)
	case program.Cancel:
		if call, ok := owner.running[callKey{effect.Program, effect.Call}]; ok {
			call.cancel()
		}
	case program.Release:
		go owner.runner.Release(owner.ctx, effect.Program)
	case program.Reply:
		owner.reply(effect)
	case program.Counted:
		owner.metrics.Count(effect.Name)
	}
}

// post hands an event to the machine from another goroutine.
func (owner *Owner) post(event program.Event) {
	owner.loop.Post(func() { owner.step(event) })
}

func (owner *Owner) stored(entries []ledger.Entry, offset int64) {
	for index, entry := range entries {
		owner.post(program.HistoryStored{
			Program: entry.Program, Call: entry.Call, Number: entry.Number,
			Location: ledger.Location{Offset: offset, Index: index + 1},
		})
	}
}

func (owner *Owner) load(effect program.Load) {
	ctx, cancel := context.WithTimeout(owner.ctx, loadTimeout)
	defer cancel()
	entries, err := loadHistory(ctx, owner.log, platform.HistoryStream(owner.settings.DataCentre), effect.Head)
	if err != nil {
		owner.metrics.Count("history_load_failed")
	}
	owner.post(program.HistoryLoaded{Program: effect.Program, Head: effect.Head, Entries: entries, Err: err})
}

func (owner *Owner) replicate(effect program.Replicate) {
	ctx, cancel := context.WithTimeout(owner.ctx, replicateWait)
	defer cancel()
	if owner.peers.Replicate(ctx, ReplicateRequest{Slot: effect.Slot, Epoch: effect.Epoch, Entry: effect.Entry}) {
		owner.post(program.Replicated{Program: effect.Entry.Program, Number: effect.Entry.Number})
		return
	}
	owner.metrics.Count("replicate_failed")
}

func (owner *Owner) gather(effect program.Gather) {
	ctx, cancel := context.WithTimeout(owner.ctx, gatherTimeout)
	defer cancel()
	request := GatherRequest{Slot: effect.Slot, Epoch: effect.Epoch}
	answers := owner.peers.Gather(ctx, request)
	owner.loop.Post(func() {
		gathered := program.Gathered{Slot: effect.Slot, Epoch: effect.Epoch}
		answers = append(answers, owner.surrender(request))
		for _, answer := range answers {
			gathered.Entries = append(gathered.Entries, answer.Entries...)
			gathered.Fenced = append(gathered.Fenced, answer.Incarnation)
		}
		owner.step(gathered)
		owner.publish()
	})
}

// dispatch starts a call and keeps its text for those who follow it.
func (owner *Owner) dispatch(effect program.Dispatch) {
	ctx, cancel := context.WithCancel(owner.ctx)
	key := callKey{effect.Program, effect.Call}
	call := &runningCall{cancel: cancel, stream: newTextStream(effect.Partial)}
	owner.running[key] = call
	go func() {
		defer cancel()
		answered := owner.runner.Run(ctx, effect, call.stream.write)
		owner.loop.Post(func() {
			if owner.running[key] == call {
				delete(owner.running, key)
			}
			owner.step(answered)
		})
	}()
}

func (owner *Owner) attach(effect program.Attach) {
	waiter, waiting := owner.waiters[effect.Token]
	call, running := owner.running[callKey{effect.Program, effect.Call}]
	if waiting && running {
		select {
		case waiter.stream <- call.stream:
		default:
		}
	}
}

func (owner *Owner) reply(effect program.Reply) {
	waiter, ok := owner.waiters[effect.Token]
	if !ok {
		return
	}
	delete(owner.waiters, effect.Token)
	waiter.reply <- effect
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

// ask sends an event and waits for the reply to its token, following the text
// of a call.
func (owner *Owner) ask(ctx context.Context, token program.Token, event program.Event, sent int, each func(string) error) (program.Reply, error) {
	waiting := &waiter{reply: make(chan program.Reply, 1), stream: make(chan *textStream, 1)}
	running := owner.loop.Post(func() {
		owner.waiters[token] = waiting
		owner.step(event)
	})
	if !running {
		return program.Reply{}, refusal.New(refusal.OwnerUnavailable, "the owner of the program is stopping")
	}
	follower := &follower{sent: sent, each: each}
	for {
		select {
		case reply := <-waiting.reply:
			return reply, follower.take()
		case follower.stream = <-waiting.stream:
		case <-follower.changed:
		case <-ctx.Done():
			owner.loop.Post(func() {
				delete(owner.waiters, token)
				owner.step(program.Disconnected{Token: token})
			})
			return program.Reply{}, ctx.Err()
		}
		if err := follower.take(); err != nil {
			owner.loop.Post(func() {
				delete(owner.waiters, token)
				owner.step(program.Disconnected{Token: token})
			})
			return program.Reply{}, err
		}
	}
}

// follower passes on the part of a text that its caller does not have.
type follower struct {
	stream  *textStream
	changed <-chan struct{}
	sent    int
	each    func(string) error
}

func (follower *follower) take() error {
	if follower.stream == nil || follower.each == nil {
		return nil
	}
	text, changed := follower.stream.from(follower.sent)
	follower.changed = changed
	if text == "" {
		return nil
	}
	follower.sent += len(text)
	return follower.each(text)
}

// Pending returns the number of calls that are under way or not yet committed.
func (owner *Owner) Pending() int {
	pending := 0
	owner.loop.Do(func() { pending = owner.machine.Pending() + len(owner.running) })
	return pending + len(owner.ledger.ring) + len(owner.history.ring)
}

// backlogged reports whether the log is so far behind that new calls might
// not find room in the rings that lead to it.
func (owner *Owner) backlogged() bool {
	return len(owner.ledger.ring) > writerRing*3/4 || len(owner.history.ring) > writerRing*3/4
}

// Call runs a call of a program. Each gets the text that follows the partial
// answer of the request.
func (owner *Owner) Call(ctx context.Context, slot int, request program.Request, each func(string) error) (program.Answer, error) {
	if owner.backlogged() {
		return program.Answer{}, refusal.New(refusal.LogUnavailable, "the log is too far behind to take more calls").WithRetryAfter(time.Second)
	}
	request.Token = program.Token(owner.nextID.Add(1))
	reply, err := owner.ask(ctx, request.Token, program.Called{Slot: slot, Request: request}, len(request.Partial), each)
	if err != nil {
		return program.Answer{}, err
	}
	if reply.Refusal != nil {
		return program.Answer{}, reply.Refusal
	}
	return *reply.Answer, nil
}

// Open starts a program.
func (owner *Owner) Open(ctx context.Context, slot int, id string, open ledger.Open) error {
	token := program.Token(owner.nextID.Add(1))
	reply, err := owner.ask(ctx, token, program.Opened{Token: token, Program: id, Slot: slot, Open: open}, 0, nil)
	return errorOf(reply, err)
}

// End closes a program.
func (owner *Owner) End(ctx context.Context, id, workspace string) error {
	token := program.Token(owner.nextID.Add(1))
	reply, err := owner.ask(ctx, token, program.Ended{Token: token, Program: id, Workspace: workspace}, 0, nil)
	return errorOf(reply, err)
}

// Query returns the state of a program, to an operator without its texts.
func (owner *Owner) Query(ctx context.Context, id, workspace string, operator bool) (*program.View, error) {
	token := program.Token(owner.nextID.Add(1))
	event := program.Queried{Token: token, Program: id, Workspace: workspace, Operator: operator}
	reply, err := owner.ask(ctx, token, event, 0, nil)
	if err := errorOf(reply, err); err != nil {
		return nil, err
	}
	return reply.View, nil
}

func errorOf(reply program.Reply, err error) error {
	if err != nil {
		return err
	}
	if reply.Refusal != nil {
		return reply.Refusal
	}
	return nil
}
