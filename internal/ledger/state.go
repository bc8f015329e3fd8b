package ledger

import (
	"slices"
	"sort"
)

// Verdict is the result of applying one record to the state.
type Verdict string

// Verdicts on applied records. Every verdict but Accepted leaves the programs
// unchanged.
const (
	Accepted       Verdict = "accepted"
	Duplicate      Verdict = "duplicate"
	StaleEpoch     Verdict = "stale_epoch"
	UnknownProgram Verdict = "unknown_program"
	OutOfOrder     Verdict = "out_of_order"
	AlreadyEnded   Verdict = "already_ended"
	AlreadySettled Verdict = "already_settled"
	OverBudget     Verdict = "over_budget"
)

// Slot is the ownership state of one slot.
type Slot struct {
	epoch       uint64
	host        string
	incarnation string
	witnesses   []string
	unfenced    []ownership // earlier owners that are not known to be fenced
	programs    map[string]*Program
}

// ownership identifies one owner of a slot and its witnesses.
type ownership struct {
	incarnation string
	witnesses   []string
}

// Epoch returns the highest claimed epoch, or zero if the slot was never
// claimed.
func (slot *Slot) Epoch() uint64 { return slot.epoch }

// Host returns the name of the owner, or an empty string if there is none.
func (slot *Slot) Host() string { return slot.host }

// Incarnation returns the owner's incarnation.
func (slot *Slot) Incarnation() string { return slot.incarnation }

// Witnesses returns the incarnations that can renew the owner's lease while the
// log is unreachable.
func (slot *Slot) Witnesses() []string { return slot.witnesses }

// RenewedBy reports whether the incarnations that agree suffice to renew the
// owner's lease without the log: they must include a majority of the witnesses.
func (slot *Slot) RenewedBy(agreed []string) bool {
	return len(slot.witnesses) > 0 && countIn(slot.witnesses, agreed) > len(slot.witnesses)/2
}

// FencedBy reports whether the incarnations that refuse the slot's epochs
// suffice to prevent the owner, and every earlier owner that is not known to be
// fenced, from renewing a lease.
func (slot *Slot) FencedBy(refusing []string) bool {
	current := ownership{incarnation: slot.incarnation, witnesses: slot.witnesses}
	for _, ownership := range append(slices.Clone(slot.unfenced), current) {
		if !ownership.fencedBy(refusing) {
			return false
		}
	}
	return true
}

// fencedBy reports whether every majority of the witnesses contains a refusing
// incarnation, or the owner itself is among the refusing ones.
func (ownership ownership) fencedBy(refusing []string) bool {
	if len(ownership.witnesses) == 0 || slices.Contains(refusing, ownership.incarnation) {
		return true
	}
	return countIn(ownership.witnesses, refusing) >= len(ownership.witnesses)-len(ownership.witnesses)/2
}

func countIn(items, set []string) int {
	count := 0
	for _, item := range items {
		if slices.Contains(set, item) {
			count++
		}
	}
	return count
}

// Programs returns the sorted identifiers of the slot's programs.
func (slot *Slot) Programs() []string {
	ids := make([]string, 0, len(slot.programs))
	for id := range slot.programs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// State is the state that results from applying the records of a ledger stream
// in order. It is not safe for concurrent use.
type State struct {
	slots     [SlotCount]Slot
	programs  map[string]*Program
	recentIDs *recentSet
	next      int64
}

// maxRecentIDs bounds the record identifiers remembered for deduplication. A
// duplicate of an older record is rejected because it no longer fits the state
// of its program, which has advanced since.
const maxRecentIDs = 16384

// NewState returns an empty state.
func NewState() *State {
	state := &State{programs: make(map[string]*Program), recentIDs: newRecentSet(maxRecentIDs)}
	for index := range state.slots {
		state.slots[index].programs = make(map[string]*Program)
	}
	return state
}

// Next returns the offset that follows the last applied one.
func (state *State) Next() int64 { return state.next }

// Slot returns the state of one slot. The number must be less than SlotCount.
func (state *State) Slot(number int) *Slot { return &state.slots[number] }

// Program looks up a program by its identifier.
func (state *State) Program(id string) (*Program, bool) {
	program, ok := state.programs[id]
	return program, ok
}

// Len returns the number of programs in the state.
func (state *State) Len() int { return len(state.programs) }

// Evict removes a program that has ended. It does nothing for an open program.
func (state *State) Evict(id string) {
	program, ok := state.programs[id]
	if !ok || program.ended == "" {
		return
	}
	delete(state.programs, id)
	delete(state.slots[program.slot].programs, id)
}

// Advance marks the offset as read, even if its append contains no valid
// record.
func (state *State) Advance(offset int64) {
	if offset >= state.next {
		state.next = offset + 1
	}
}

// Apply applies one record that was read at the offset.
func (state *State) Apply(offset int64, record Record) Verdict {
	state.Advance(offset)
	if !state.recentIDs.add(record.ID) {
		return Duplicate
	}
	slot := &state.slots[record.Slot]
	switch {
	case record.Claim != nil:
		return state.applyClaim(slot, record)
	case record.Outcome != nil:
		return state.applyOutcome(offset, record)
	case record.Epoch != slot.epoch:
		return StaleEpoch
	case record.Open != nil:
		return state.applyOpen(offset, record)
	case record.Snapshot != nil:
		return state.applySnapshot(offset, record)
	}
	program, ok := state.programs[record.Program]
	if !ok || program.slot != record.Slot {
		return UnknownProgram
	}
	verdict := state.applyProgram(program, record)
	if verdict == Accepted {
		program.lastOffset = offset
	}
	return verdict
}

func (state *State) applyClaim(slot *Slot, record Record) Verdict {
	claim := record.Claim
	if record.Epoch == slot.epoch && claim.Host == slot.host && claim.Incarnation == slot.incarnation {
		if claim.Fenced {
			slot.unfenced = nil
		}
		return Accepted
	}
	if record.Epoch <= slot.epoch {
		return StaleEpoch
	}
	if len(slot.witnesses) > 0 {
		slot.unfenced = append(slices.Clip(slot.unfenced), ownership{incarnation: slot.incarnation, witnesses: slot.witnesses})
	}
	slot.epoch = record.Epoch
	slot.host = claim.Host
	slot.incarnation = claim.Incarnation
	slot.witnesses = claim.Witnesses
	// The previous owner may have spent every granted token without settling it.
	for _, program := range slot.programs {
		program.forfeited = program.granted - program.spent
	}
	return Accepted
}

func (state *State) applyOpen(offset int64, record Record) Verdict {
	if _, ok := state.programs[record.Program]; ok {
		return Duplicate
	}
	if record.Open.Granted > record.Open.Budget {
		return OverBudget
	}
	if record.Open.Root != record.Program {
		root, ok := state.programs[record.Open.Root]
		if !ok || root.slot != record.Slot {
			return UnknownProgram
		}
		if root.ended != "" {
			return AlreadyEnded
		}
	}
	state.insert(&Program{
		id: record.Program, slot: record.Slot, open: *record.Open,
		granted: record.Open.Granted, lastOffset: offset,
	})
	return Accepted
}

// applySnapshot restores an unknown program. For a known one it only moves the
// head, which may refer to a consolidated entry.
func (state *State) applySnapshot(offset int64, record Record) Verdict {
	snapshot := record.Snapshot
	if program, ok := state.programs[record.Program]; ok {
		if program.turns != snapshot.Turns {
			return OutOfOrder
		}
		program.head = snapshot.Head
		program.lastOffset = offset
		return Accepted
	}
	state.insert(&Program{
		id: record.Program, slot: record.Slot, open: snapshot.Open, turns: snapshot.Turns, head: snapshot.Head,
		granted: snapshot.Open.Granted, spent: snapshot.Spent, forfeited: snapshot.Forfeited,
		ended: snapshot.Ended, intent: snapshot.Intent, age: snapshot.Age, lastOffset: offset,
	})
	return Accepted
}

func (state *State) insert(program *Program) {
	state.programs[program.id] = program
	state.slots[program.slot].programs[program.id] = program
}

func (state *State) applyProgram(program *Program, record Record) Verdict {
	switch {
	case record.Grant != nil:
		return program.grant(record.Grant.Granted)
	case program.ended != "":
		return AlreadyEnded
	case record.End != nil:
		program.ended = record.End.Reason
		return Accepted
	case record.Intent != nil:
		return state.applyIntent(program, record.Intent)
	default:
		return state.applyTurn(program, record.Turn)
	}
}

func (state *State) applyIntent(program *Program, intent *Intent) Verdict {
	if program.intent != nil || intent.Number != program.turns+1 {
		return OutOfOrder
	}
	if intent.Attempt == program.notRunAttempt {
		return AlreadySettled
	}
	if verdict := state.root(program).grant(intent.Granted); verdict != Accepted {
		return verdict
	}
	program.intent = intent
	return Accepted
}

func (state *State) applyTurn(program *Program, turn *Turn) Verdict {
	if program.intent != nil || turn.Number != program.turns+1 {
		return OutOfOrder
	}
	root := state.root(program)
	if verdict := root.grant(turn.Granted); verdict != Accepted {
		return verdict
	}
	root.settle(turn.Spent)
	program.turns = turn.Number
	program.head = turn.Head
	program.age = turn.Age
	return Accepted
}

// applyOutcome accepts an outcome from any epoch, because the result of a
// dispatched call does not depend on who owns the slot now.
func (state *State) applyOutcome(offset int64, record Record) Verdict {
	program, ok := state.programs[record.Program]
	if !ok || program.slot != record.Slot {
		return UnknownProgram
	}
	outcome := record.Outcome
	if program.intent == nil || program.intent.Attempt != outcome.Attempt {
		return AlreadySettled
	}
	program.intent = nil
	program.lastOffset = offset
	if outcome.Result == ResultNotRun {
		program.notRunAttempt = outcome.Attempt
		return Accepted
	}
	state.root(program).settle(outcome.Spent)
	program.turns++
	program.head = outcome.Head
	return Accepted
}

func (state *State) root(program *Program) *Program {
	if root, ok := state.programs[program.open.Root]; ok {
		return root
	}
	return program
}

// grant raises the granted tokens of the budget. It never lowers them, so that
// a delayed record cannot revoke tokens that were granted later.
func (program *Program) grant(granted int64) Verdict {
	if granted > program.open.Budget {
		return OverBudget
	}
	program.granted = max(program.granted, granted)
	return Accepted
}

// settle adds spent tokens. It lowers the forfeited tokens if the sum of both
// would otherwise exceed the granted tokens.
func (program *Program) settle(spent int64) {
	program.spent += spent
	program.forfeited = max(0, min(program.forfeited, program.granted-program.spent))
}

// TakeSnapshot returns a snapshot of the program's state.
func (program *Program) TakeSnapshot() *Snapshot {
	open := program.open
	open.Granted = program.granted
	return &Snapshot{
		Open: open, Turns: program.turns, Head: program.head, Spent: program.spent,
		Forfeited: program.forfeited, Ended: program.ended, Intent: program.intent, Age: program.age,
	}
}
