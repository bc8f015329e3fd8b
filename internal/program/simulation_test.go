package program_test

import (
	"fmt"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// simulation runs real state machines against a simulated log that loses
// responses, applies appends late and becomes unavailable, and against hosts
// that pause, crash and restart.
type simulation struct {
	now            time.Time
	hosts          []*simHost
	ledger         [][]ledger.Record
	history        [][]ledger.Entry
	delayedAppends [][]ledger.Record
	outage         bool
	sequence       int

	runs            map[string]int // number of executions by call
	spent           int64          // tokens consumed by targets
	answers         map[string]program.Answer
	refusals        map[string]refusal.RunState // run state of the last refusal by call
	waiting         map[program.ReplyToken]string
	outstanding     map[string]int // requests without a reply by call
	runsWhenRefused map[string]int // executions by call when its last refusal said "not run"
	violations      []string
	trace           []string
	crashes         int
	maxTokens       int64
	replicatedTurns int
}

// simHost is a host with its state machine and the effects that are pending.
type simHost struct {
	name        string
	incarnation string
	machine     *program.Machine
	replicas    *program.Replicas
	cursor      int
	appends     [][]ledger.Record
	stores      []ledger.Entry
	loads       []program.LoadHistory
	dispatches  []program.Dispatch
	executed    []program.DispatchResult // results that are not delivered yet
	replicates  []program.Replicate
	gathers     []program.Gather
}

const (
	simProgram = "dc.1.p"
	simSlot    = 1
	simBudget  = 400
)

func newSimulation(hosts int) *simulation {
	simulation := &simulation{
		now: time.Unix(1000, 0), maxTokens: 20, runs: make(map[string]int), answers: make(map[string]program.Answer),
		refusals: make(map[string]refusal.RunState), waiting: make(map[program.ReplyToken]string),
		outstanding: make(map[string]int), runsWhenRefused: make(map[string]int),
	}
	for index := range hosts {
		simulation.hosts = append(simulation.hosts, &simHost{name: fmt.Sprintf("h%d", index)})
		simulation.restart(index)
	}
	return simulation
}

func (simulation *simulation) log(format string, args ...any) {
	simulation.trace = append(simulation.trace, fmt.Sprintf(format, args...))
}

func (simulation *simulation) reportViolation(format string, args ...any) {
	simulation.violations = append(simulation.violations, fmt.Sprintf(format, args...))
}

// restart replaces the process of a host by a new incarnation without state.
// Its pending appends may still be applied; requests to the old process get no
// reply.
func (simulation *simulation) restart(index int) {
	host := simulation.hosts[index]
	simulation.delayedAppends = append(simulation.delayedAppends, host.appends...)
	simulation.sequence++
	incarnation := fmt.Sprintf("%s-%d", host.name, simulation.sequence)
	settings := program.DefaultSettings(host.name, incarnation)
	settings.OutcomeGrace = time.Second
	*host = simHost{
		name: host.name, incarnation: incarnation,
		machine: program.NewMachine(settings), replicas: program.NewReplicas(),
	}
}

// crash restarts a host and removes the reply tokens that it was to answer.
func (simulation *simulation) crash(index int) {
	host := simulation.hosts[index]
	simulation.log("crash %s", host.incarnation)
	simulation.crashes++
	for replyToken, call := range simulation.waiting {
		if int(uint64(replyToken)>>32) == index {
			delete(simulation.waiting, replyToken)
			// Without a reply, the caller does not know whether the call ran.
			simulation.refusals[call] = refusal.RunUnknown
		}
	}
	simulation.restart(index)
}

// step applies an event to a host and queues the resulting effects.
func (simulation *simulation) step(index int, event program.Event) {
	host := simulation.hosts[index]
	for _, effect := range host.machine.Step(simulation.now, event) {
		switch effect := effect.(type) {
		case program.Append:
			host.appends = append(host.appends, effect.Records)
		case program.StoreEntry:
			host.stores = append(host.stores, effect.Entry)
		case program.LoadHistory:
			host.loads = append(host.loads, effect)
		case program.Dispatch:
			host.dispatches = append(host.dispatches, effect)
		case program.Replicate:
			host.replicates = append(host.replicates, effect)
		case program.Gather:
			host.gathers = append(host.gathers, effect)
		case program.Cancel:
			simulation.cancel(host, effect)
		case program.Reply:
			simulation.reply(host, effect)
		}
	}
}

// cancel removes a dispatch that has not run and queues a refusal as its
// result.
func (simulation *simulation) cancel(host *simHost, effect program.Cancel) {
	for index, dispatch := range host.dispatches {
		if dispatch.Call == effect.Call {
			host.dispatches = append(host.dispatches[:index:index], host.dispatches[index+1:]...)
			host.executed = append(host.executed, program.DispatchResult{
				Program: dispatch.Program, Call: dispatch.Call, Attempt: dispatch.Attempt,
				Refusal: refusal.New(refusal.Cancelled, "cancelled"),
			})
			return
		}
	}
}

// reply compares the reply to a caller with earlier replies to the same call
// and with the executions of the call.
func (simulation *simulation) reply(host *simHost, effect program.Reply) {
	call, ok := simulation.waiting[effect.ReplyToken]
	if !ok {
		return
	}
	delete(simulation.waiting, effect.ReplyToken)
	simulation.outstanding[call]--
	switch {
	case effect.Answer != nil:
		simulation.log("%s answers %s with %q", host.incarnation, call, effect.Answer.Output)
		if before, ok := simulation.answers[call]; ok && before.Output != effect.Answer.Output {
			simulation.reportViolation("call %s: got answer %q first and %q later, want the same", call, before.Output, effect.Answer.Output)
		}
		simulation.answers[call] = *effect.Answer
	case effect.Refusal != nil:
		simulation.log("%s refuses %s: %v", host.incarnation, call, effect.Refusal)
		simulation.refusals[call] = effect.Refusal.Run
		known := effect.Refusal.Code != refusal.Moved && effect.Refusal.Code != refusal.NotFound
		if effect.Refusal.Run == refusal.NotRun && nonIdempotent(call) && known && simulation.runs[call] > 0 {
			simulation.reportViolation("call %s has run: got refusal %v, want no refusal that says it did not run", call, effect.Refusal)
		}
		if effect.Refusal.Run == refusal.NotRun && nonIdempotent(call) && simulation.outstanding[call] == 0 {
			simulation.runsWhenRefused[call] = simulation.runs[call]
		}
	}
}

// nonIdempotent reports whether a call is non-idempotent: names of idempotent
// calls begin with i, and those of non-idempotent calls with o.
func nonIdempotent(call string) bool { return call[0] == 'o' }

// send sends a call to a host. The upper half of its reply token is the index
// of the host.
func (simulation *simulation) send(index int, call string) {
	simulation.sequence++
	replyToken := program.ReplyToken(uint64(index)<<32 | uint64(simulation.sequence))
	simulation.waiting[replyToken] = call
	simulation.outstanding[call]++
	delete(simulation.runsWhenRefused, call)
	request := program.Request{
		ReplyToken: replyToken, Workspace: "w", Program: simProgram, Call: call, Service: "s", Kind: program.KindEngine,
		Repeatable: true, Input: "in-" + call, MaxTokens: simulation.maxTokens, Timeout: 20 * time.Second,
	}
	if nonIdempotent(call) {
		request.Kind, request.Repeatable, request.Cost = program.KindPlain, false, 5
	}
	simulation.log("send %s to %s", call, simulation.hosts[index].incarnation)
	simulation.step(index, program.CallRequest{Slot: simSlot, Request: request})
}

// openProgram opens the simulated program through a host.
func (simulation *simulation) openProgram(index int) {
	simulation.step(index, program.OpenRequest{ReplyToken: 1, Program: simProgram, Slot: simSlot, Open: ledger.Open{
		Root: simProgram, Workspace: "w", Budget: simBudget,
	}})
}

// appendResult is the result of an append to the simulated log.
type appendResult int

const (
	appendSucceeds appendResult = iota
	appendResponseLost
	appendDelayed
	appendFails
)

// appendNext carries out the first pending append of a host. The append stays
// pending for a retry unless the host receives a success.
func (simulation *simulation) appendNext(index int, result appendResult) {
	host := simulation.hosts[index]
	if len(host.appends) == 0 || simulation.outage {
		return
	}
	batch := host.appends[0]
	simulation.log("append of %s: result %d, %s", host.incarnation, result, describe(batch))
	switch result {
	case appendSucceeds:
		simulation.ledger = append(simulation.ledger, batch)
		host.appends = host.appends[1:]
	case appendResponseLost:
		simulation.ledger = append(simulation.ledger, batch)
	case appendDelayed:
		simulation.delayedAppends = append(simulation.delayedAppends, batch)
	}
}

func describe(batch []ledger.Record) string {
	text := ""
	for _, record := range batch {
		switch {
		case record.Claim != nil:
			text += fmt.Sprintf("claim %d by %s ", record.Epoch, record.Claim.Incarnation)
		case record.Intent != nil:
			text += fmt.Sprintf("intent %s number %d epoch %d ", record.Intent.Call, record.Intent.Number, record.Epoch)
		case record.Outcome != nil:
			text += fmt.Sprintf("outcome %s %s epoch %d ", record.Outcome.Call, record.Outcome.Result, record.Epoch)
		case record.Turn != nil:
			text += fmt.Sprintf("turn %d %s epoch %d ", record.Turn.Number, record.Turn.Call, record.Epoch)
		default:
			text += "other "
		}
	}
	return text
}

// applyDelayed applies a delayed append to the ledger.
func (simulation *simulation) applyDelayed(index int) {
	if len(simulation.delayedAppends) == 0 || simulation.outage {
		return
	}
	index %= len(simulation.delayedAppends)
	simulation.log("delayed append is applied: %s", describe(simulation.delayedAppends[index]))
	simulation.ledger = append(simulation.ledger, simulation.delayedAppends[index])
	simulation.delayedAppends = append(simulation.delayedAppends[:index:index], simulation.delayedAppends[index+1:]...)
}

// readNext delivers the next append of the ledger to a host. It reports
// whether there was one.
func (simulation *simulation) readNext(index int) bool {
	host := simulation.hosts[index]
	if host.cursor >= len(simulation.ledger) || simulation.outage {
		return false
	}
	records := simulation.ledger[host.cursor]
	simulation.step(index, program.LedgerRead{Offset: int64(host.cursor), Records: records})
	host.cursor++
	for _, record := range records {
		if record.Turn != nil {
			host.replicas.DropCommitted(record.Program, record.Turn.Number)
		}
	}
	return true
}

// storeNext writes the first pending entry of a host to the history.
func (simulation *simulation) storeNext(index int) {
	host := simulation.hosts[index]
	if len(host.stores) == 0 || simulation.outage {
		return
	}
	entry := host.stores[0]
	host.stores = host.stores[1:]
	simulation.history = append(simulation.history, []ledger.Entry{entry})
	simulation.step(index, program.HistoryStored{
		Program: entry.Program, Call: entry.Call, Number: entry.Number,
		Location: ledger.Location{Offset: int64(len(simulation.history) - 1), Index: 1},
	})
}

// readHistory returns the history that ends at the head, oldest turn first.
func (simulation *simulation) readHistory(head ledger.Location) []ledger.Entry {
	var entries []ledger.Entry
	for location := head; !location.IsZero(); {
		entry := simulation.history[location.Offset][location.Index-1]
		earlier := entry.Earlier
		entry.Earlier = nil
		entries = append(append(earlier[:len(earlier):len(earlier)], entry), entries...)
		location = entry.Prev
	}
	return entries
}

// loadNext carries out the first pending load of a host.
func (simulation *simulation) loadNext(index int, fails bool) {
	host := simulation.hosts[index]
	if len(host.loads) == 0 {
		return
	}
	load := host.loads[0]
	host.loads = host.loads[1:]
	loaded := program.HistoryLoaded{Program: load.Program, Head: load.Head}
	if fails || simulation.outage {
		loaded.Err = fmt.Errorf("log is unavailable")
	} else {
		loaded.Entries = simulation.readHistory(load.Head)
	}
	simulation.step(index, loaded)
}

// executeNext runs the first pending dispatch of a host on a simulated target.
// If lost is set, the result says that no response arrived.
func (simulation *simulation) executeNext(index int, lost bool) {
	host := simulation.hosts[index]
	if len(host.dispatches) == 0 {
		return
	}
	dispatch := host.dispatches[0]
	host.dispatches = host.dispatches[1:]
	simulation.runs[dispatch.Call]++
	simulation.log("target runs %s for %s", dispatch.Call, host.incarnation)
	result := program.DispatchResult{Program: dispatch.Program, Call: dispatch.Call, Attempt: dispatch.Attempt}
	if nonIdempotent(dispatch.Call) {
		simulation.spent += 5
		if simulation.runs[dispatch.Call] > 1 {
			simulation.reportViolation("call %s: got %d runs, want 1", dispatch.Call, simulation.runs[dispatch.Call])
		}
		if before, ok := simulation.runsWhenRefused[dispatch.Call]; ok && simulation.runs[dispatch.Call] > before {
			simulation.reportViolation("call %s ran again, want no run after a refusal that said it did not run", dispatch.Call)
		}
		result.Output = "ran-" + dispatch.Call
	} else {
		tokens := min(dispatch.MaxTokens, int64(5+len(dispatch.History)))
		simulation.spent += program.InputTokens(dispatch.Input) + tokens
		result.Output = fmt.Sprintf("after-%d-%s", len(dispatch.History), dispatch.Call)
		result.Tokens = tokens
	}
	if simulation.spent > simBudget {
		simulation.reportViolation("got %d tokens consumed by targets, want at most the budget of %d", simulation.spent, simBudget)
	}
	if lost {
		result.Refusal = refusal.New(refusal.TargetFailed, "response lost").WithRun(refusal.RunUnknown)
	}
	host.executed = append(host.executed, result)
}

// deliverNext delivers the first result of a target to its host.
func (simulation *simulation) deliverNext(index int) {
	host := simulation.hosts[index]
	if len(host.executed) == 0 {
		return
	}
	result := host.executed[0]
	host.executed = host.executed[1:]
	simulation.step(index, result)
}

// replicateNext carries out the first pending replication of a host on another
// host.
func (simulation *simulation) replicateNext(index, to int) {
	host := simulation.hosts[index]
	if len(host.replicates) == 0 || index == to {
		return
	}
	replicate := host.replicates[0]
	host.replicates = host.replicates[1:]
	other := simulation.hosts[to]
	if other.machine.LedgerState().Slot(replicate.Slot).Epoch() > replicate.Epoch ||
		!other.replicas.StoreReplica(replicate.Slot, replicate.Epoch, replicate.Entry) {
		return
	}
	simulation.replicatedTurns++
	simulation.log("%s replicates turn %d of %s", other.incarnation, replicate.Entry.Number, host.incarnation)
	simulation.step(index, program.Replicated{Program: replicate.Entry.Program, Number: replicate.Entry.Number})
}
