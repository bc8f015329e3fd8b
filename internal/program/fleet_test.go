package program_test

import (
	"fmt"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// fleet drives real machines against a log that loses answers, lands appends
// late and goes away, and against hosts that pause, crash and are replaced.
type fleet struct {
	now     time.Time
	hosts   []*simHost
	ledger  [][]ledger.Record
	history [][]ledger.Entry
	late    [][]ledger.Record
	outage  bool
	serial  int

	runs      map[string]int // executions by call
	spent     int64          // tokens that targets have consumed
	answers   map[string]program.Answer
	refusals  map[string]refusal.Run // last refusal by call
	open      map[program.Token]string
	sent      map[string]int // sends of a call without a reply
	clean     map[string]int // runs at the time of a refusal "not run"
	faults    []string
	trace     []string
	crashes   int
	maxTokens int64
	held      int
}

// simHost is one host with the effects that wait to be carried out.
type simHost struct {
	name        string
	incarnation string
	machine     *program.Machine
	replicas    *program.Replicas
	cursor      int
	appends     [][]ledger.Record
	stores      []ledger.Entry
	loads       []program.Load
	dispatches  []program.Dispatch
	executed    []program.Answered // results that are on their way back
	replicates  []program.Replicate
	gathers     []program.Gather
}

const (
	simProgram = "dc.1.p"
	simSlot    = 1
	simBudget  = 400
)

func newFleet(hosts int) *fleet {
	fleet := &fleet{
		now: time.Unix(1000, 0), maxTokens: 20, runs: make(map[string]int), answers: make(map[string]program.Answer),
		refusals: make(map[string]refusal.Run), open: make(map[program.Token]string),
		sent: make(map[string]int), clean: make(map[string]int),
	}
	for index := range hosts {
		fleet.hosts = append(fleet.hosts, &simHost{name: fmt.Sprintf("h%d", index)})
		fleet.replace(index)
	}
	return fleet
}

func (fleet *fleet) note(format string, args ...any) {
	fleet.trace = append(fleet.trace, fmt.Sprintf(format, args...))
}

func (fleet *fleet) fault(format string, args ...any) {
	fleet.faults = append(fleet.faults, fmt.Sprintf(format, args...))
}

// replace gives a host a new process without memory. Requests to the old one
// end without a reply; its appends may still land.
func (fleet *fleet) replace(index int) {
	host := fleet.hosts[index]
	fleet.late = append(fleet.late, host.appends...)
	fleet.serial++
	incarnation := fmt.Sprintf("%s-%d", host.name, fleet.serial)
	settings := program.DefaultSettings(host.name, incarnation)
	settings.OutcomeGrace = time.Second
	*host = simHost{
		name: host.name, incarnation: incarnation,
		machine: program.NewMachine(settings), replicas: program.NewReplicas(),
	}
}

// crash replaces a host and forgets the tokens that waited there.
func (fleet *fleet) crash(index int) {
	host := fleet.hosts[index]
	fleet.note("crash %s", host.incarnation)
	fleet.crashes++
	for token, call := range fleet.open {
		if int(uint64(token)>>32) == index {
			delete(fleet.open, token)
			// The caller has learned nothing about this send.
			fleet.refusals[call] = refusal.Unknown
		}
	}
	fleet.replace(index)
}

// step gives an event to a host and queues the effects.
func (fleet *fleet) step(index int, event program.Event) {
	host := fleet.hosts[index]
	for _, effect := range host.machine.Step(fleet.now, event) {
		switch effect := effect.(type) {
		case program.Append:
			host.appends = append(host.appends, effect.Records)
		case program.Store:
			host.stores = append(host.stores, effect.Entry)
		case program.Load:
			host.loads = append(host.loads, effect)
		case program.Dispatch:
			host.dispatches = append(host.dispatches, effect)
		case program.Replicate:
			host.replicates = append(host.replicates, effect)
		case program.Gather:
			host.gathers = append(host.gathers, effect)
		case program.Cancel:
			fleet.cancel(host, effect)
		case program.Reply:
			fleet.reply(host, effect)
		}
	}
}

func (fleet *fleet) cancel(host *simHost, effect program.Cancel) {
	for index, dispatch := range host.dispatches {
		if dispatch.Call == effect.Call {
			host.dispatches = append(host.dispatches[:index:index], host.dispatches[index+1:]...)
			host.executed = append(host.executed, program.Answered{
				Program: dispatch.Program, Call: dispatch.Call, Attempt: dispatch.Attempt,
				Refusal: refusal.New(refusal.Cancelled, "cancelled"),
			})
			return
		}
	}
}

// reply checks what a caller is told against what has happened.
func (fleet *fleet) reply(host *simHost, effect program.Reply) {
	call, ok := fleet.open[effect.Token]
	if !ok {
		return
	}
	delete(fleet.open, effect.Token)
	fleet.sent[call]--
	switch {
	case effect.Answer != nil:
		fleet.note("%s answers %s with %q", host.incarnation, call, effect.Answer.Output)
		if before, ok := fleet.answers[call]; ok && before.Output != effect.Answer.Output {
			fleet.fault("call %s got %q and then %q", call, before.Output, effect.Answer.Output)
		}
		fleet.answers[call] = *effect.Answer
	case effect.Refusal != nil:
		fleet.note("%s refuses %s: %v", host.incarnation, call, effect.Refusal)
		fleet.refusals[call] = effect.Refusal.Run
		known := effect.Refusal.Code != refusal.Moved && effect.Refusal.Code != refusal.NotFound
		if effect.Refusal.Run == refusal.NotRun && once(call) && known && fleet.runs[call] > 0 {
			fleet.fault("call %s has run, its caller was told: %v", call, effect.Refusal)
		}
		if effect.Refusal.Run == refusal.NotRun && once(call) && fleet.sent[call] == 0 {
			fleet.clean[call] = fleet.runs[call]
		}
	}
}

// once reports whether a call is non-idempotent.
func once(call string) bool { return call[0] == 'o' }

// send hands a call to a host.
func (fleet *fleet) send(index int, call string) {
	fleet.serial++
	token := program.Token(uint64(index)<<32 | uint64(fleet.serial))
	fleet.open[token] = call
	fleet.sent[call]++
	delete(fleet.clean, call)
	request := program.Request{
		Token: token, Workspace: "w", Program: simProgram, Call: call, Service: "s", Kind: program.KindEngine,
		Repeatable: true, Input: "in-" + call, MaxTokens: fleet.maxTokens, Timeout: 20 * time.Second,
	}
	if once(call) {
		request.Kind, request.Repeatable, request.Cost = program.KindPlain, false, 5
	}
	fleet.note("send %s to %s", call, fleet.hosts[index].incarnation)
	fleet.step(index, program.Called{Slot: simSlot, Request: request})
}

// openProgram creates the program through a host.
func (fleet *fleet) openProgram(index int) {
	fleet.step(index, program.Opened{Token: 1, Program: simProgram, Slot: simSlot, Open: ledger.Open{
		Root: simProgram, Workspace: "w", Budget: simBudget,
	}})
}

// appendFate is what the log does with an append.
type appendFate int

const (
	appendTaken appendFate = iota
	appendAnswerLost
	appendLate
	appendRefused
)

// appendOne carries out the first append of a host. Without an answer the
// writer repeats it.
func (fleet *fleet) appendOne(index int, fate appendFate) {
	host := fleet.hosts[index]
	if len(host.appends) == 0 || fleet.outage {
		return
	}
	batch := host.appends[0]
	fleet.note("append of %s: fate %d, %s", host.incarnation, fate, describe(batch))
	switch fate {
	case appendTaken:
		fleet.ledger = append(fleet.ledger, batch)
		host.appends = host.appends[1:]
	case appendAnswerLost:
		fleet.ledger = append(fleet.ledger, batch)
	case appendLate:
		fleet.late = append(fleet.late, batch)
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

// landLate lets an append of long ago take effect.
func (fleet *fleet) landLate(index int) {
	if len(fleet.late) == 0 || fleet.outage {
		return
	}
	index %= len(fleet.late)
	fleet.note("late append lands: %s", describe(fleet.late[index]))
	fleet.ledger = append(fleet.ledger, fleet.late[index])
	fleet.late = append(fleet.late[:index:index], fleet.late[index+1:]...)
}

// readOne lets a host read one append.
func (fleet *fleet) readOne(index int) bool {
	host := fleet.hosts[index]
	if host.cursor >= len(fleet.ledger) || fleet.outage {
		return false
	}
	records := fleet.ledger[host.cursor]
	fleet.step(index, program.Read{Offset: int64(host.cursor), Records: records})
	host.cursor++
	for _, record := range records {
		if record.Turn != nil {
			host.replicas.Committed(record.Program, record.Turn.Number)
		}
	}
	return true
}

func (fleet *fleet) storeOne(index int) {
	host := fleet.hosts[index]
	if len(host.stores) == 0 || fleet.outage {
		return
	}
	entry := host.stores[0]
	host.stores = host.stores[1:]
	fleet.history = append(fleet.history, []ledger.Entry{entry})
	fleet.step(index, program.HistoryStored{
		Program: entry.Program, Call: entry.Call, Number: entry.Number,
		Location: ledger.Location{Offset: int64(len(fleet.history) - 1), Index: 1},
	})
}

// chain reads a history from its head, oldest first.
func (fleet *fleet) chain(head ledger.Location) []ledger.Entry {
	var entries []ledger.Entry
	for location := head; !location.IsZero(); {
		entry := fleet.history[location.Offset][location.Index-1]
		earlier := entry.Earlier
		entry.Earlier = nil
		entries = append(append(earlier[:len(earlier):len(earlier)], entry), entries...)
		location = entry.Prev
	}
	return entries
}

func (fleet *fleet) loadOne(index int, fails bool) {
	host := fleet.hosts[index]
	if len(host.loads) == 0 {
		return
	}
	load := host.loads[0]
	host.loads = host.loads[1:]
	loaded := program.HistoryLoaded{Program: load.Program, Head: load.Head}
	if fails || fleet.outage {
		loaded.Err = fmt.Errorf("log is away")
	} else {
		loaded.Entries = fleet.chain(load.Head)
	}
	fleet.step(index, loaded)
}

// execute lets a target run a call. The answer comes back later or never.
func (fleet *fleet) execute(index int, lost bool) {
	host := fleet.hosts[index]
	if len(host.dispatches) == 0 {
		return
	}
	dispatch := host.dispatches[0]
	host.dispatches = host.dispatches[1:]
	fleet.runs[dispatch.Call]++
	fleet.note("target runs %s for %s", dispatch.Call, host.incarnation)
	answered := program.Answered{Program: dispatch.Program, Call: dispatch.Call, Attempt: dispatch.Attempt}
	if once(dispatch.Call) {
		fleet.spent += 5
		if fleet.runs[dispatch.Call] > 1 {
			fleet.fault("call %s ran %d times", dispatch.Call, fleet.runs[dispatch.Call])
		}
		if before, ok := fleet.clean[dispatch.Call]; ok && fleet.runs[dispatch.Call] > before {
			fleet.fault("call %s ran after its callers were told that it did not", dispatch.Call)
		}
		answered.Output = "ran-" + dispatch.Call
	} else {
		tokens := min(dispatch.MaxTokens, int64(5+len(dispatch.History)))
		fleet.spent += program.InputTokens(dispatch.Input) + tokens
		answered.Output = fmt.Sprintf("after-%d-%s", len(dispatch.History), dispatch.Call)
		answered.Tokens = tokens
	}
	if fleet.spent > simBudget {
		fleet.fault("targets consumed %d tokens of a budget of %d", fleet.spent, simBudget)
	}
	if lost {
		answered.Refusal = refusal.New(refusal.TargetFailed, "answer lost").WithRun(refusal.Unknown)
	}
	host.executed = append(host.executed, answered)
}

func (fleet *fleet) deliver(index int) {
	host := fleet.hosts[index]
	if len(host.executed) == 0 {
		return
	}
	answered := host.executed[0]
	host.executed = host.executed[1:]
	fleet.step(index, answered)
}

func (fleet *fleet) replicateOne(index, to int) {
	host := fleet.hosts[index]
	if len(host.replicates) == 0 || index == to {
		return
	}
	replicate := host.replicates[0]
	host.replicates = host.replicates[1:]
	other := fleet.hosts[to]
	if other.machine.Book().Slot(replicate.Slot).Epoch() > replicate.Epoch ||
		!other.replicas.Hold(replicate.Slot, replicate.Epoch, replicate.Entry) {
		return
	}
	fleet.held++
	fleet.note("%s holds turn %d of %s", other.incarnation, replicate.Entry.Number, host.incarnation)
	fleet.step(index, program.Replicated{Program: replicate.Entry.Program, Number: replicate.Entry.Number})
}
