package ledger

import (
	"slices"
	"sort"
)

// Verdict is what the fold decided about one record.
type Verdict string

// Verdicts of the fold.
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
	former      []tenure
	programs    map[string]*Program
}

// tenure is an earlier ownership that is not known to be fenced.
type tenure struct {
	incarnation string
	witnesses   []string
}

// Epoch returns the highest epoch claimed, zero if none was.
func (slot *Slot) Epoch() uint64 { return slot.epoch }

// Host returns the name of the owner, empty if there is none.
func (slot *Slot) Host() string { return slot.host }

// Incarnation returns the owner's incarnation.
func (slot *Slot) Incarnation() string { return slot.incarnation }

// Witnesses returns the incarnations that back the ownership while the log is
// away.
func (slot *Slot) Witnesses() []string { return slot.witnesses }

// RenewedBy reports whether the incarnations that agree are enough to renew
// the owner's lease without the log: a majority of the witnesses.
func (slot *Slot) RenewedBy(agreed []string) bool {
	return len(slot.witnesses) > 0 && countIn(slot.witnesses, agreed) > len(slot.witnesses)/2
}

// FencedBy reports whether the incarnations that refuse the slot's epochs are
// enough to stop its owner, and every earlier one that nobody has fenced, from
// renewing a lease.
func (slot *Slot) FencedBy(refusing []string) bool {
	current := tenure{incarnation: slot.incarnation, witnesses: slot.witnesses}
	for _, tenure := range append(slices.Clone(slot.former), current) {
		if !tenure.fencedBy(refusing) {
			return false
		}
	}
	return true
}

// fencedBy reports whether every majority of the witnesses contains a refusing
// one, or the owner itself has stepped down.
func (tenure tenure) fencedBy(refusing []string) bool {
	if len(tenure.witnesses) == 0 || slices.Contains(refusing, tenure.incarnation) {
		return true
	}
	return countIn(tenure.witnesses, refusing) >= len(tenure.witnesses)-len(tenure.witnesses)/2
}

func countIn(list, among []string) int {
	count := 0
	for _, each := range list {
		if slices.Contains(among, each) {
			count++
		}
	}
	return count
}

// Programs returns the identifiers of the slot's programs in order.
func (slot *Slot) Programs() []string {
	ids := make([]string, 0, len(slot.programs))
	for id := range slot.programs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Book folds one ledger stream. It is not safe for concurrent use.
type Book struct {
	slots    [SlotCount]Slot
	programs map[string]*Program
	seen     *recentSet
	next     int64
}

// recentRecords bounds the record identifiers kept against duplicates. A
// duplicate that is older than that meets a later state of its program and is
// refused by the rules of that state.
const recentRecords = 16384

// NewBook returns an empty fold.
func NewBook() *Book {
	book := &Book{programs: make(map[string]*Program), seen: newRecentSet(recentRecords)}
	for index := range book.slots {
		book.slots[index].programs = make(map[string]*Program)
	}
	return book
}

// Next returns the offset after the last one applied.
func (book *Book) Next() int64 { return book.next }

// Slot returns the state of one slot. The number must be below SlotCount.
func (book *Book) Slot(number int) *Slot { return &book.slots[number] }

// Program looks up a program.
func (book *Book) Program(id string) (*Program, bool) {
	program, ok := book.programs[id]
	return program, ok
}

// Len returns the number of programs in the book.
func (book *Book) Len() int { return len(book.programs) }

// Forget drops a program that ended. It does nothing for an open one.
func (book *Book) Forget(id string) {
	program, ok := book.programs[id]
	if !ok || program.ended == "" {
		return
	}
	delete(book.programs, id)
	delete(book.slots[program.slot].programs, id)
}

// Advance marks the offset as read, also when its append held no record.
func (book *Book) Advance(offset int64) {
	if offset >= book.next {
		book.next = offset + 1
	}
}

// Apply folds one record that was read at the offset.
func (book *Book) Apply(offset int64, record Record) Verdict {
	book.Advance(offset)
	if !book.seen.add(record.ID) {
		return Duplicate
	}
	slot := &book.slots[record.Slot]
	switch {
	case record.Claim != nil:
		return book.applyClaim(slot, record)
	case record.Outcome != nil:
		return book.applyOutcome(offset, record)
	case record.Epoch != slot.epoch:
		return StaleEpoch
	case record.Open != nil:
		return book.applyOpen(offset, record)
	case record.Carry != nil:
		return book.applyCarry(offset, record)
	}
	program, ok := book.programs[record.Program]
	if !ok || program.slot != record.Slot {
		return UnknownProgram
	}
	verdict := book.applyProgram(program, record)
	if verdict == Accepted {
		program.touched = offset
	}
	return verdict
}

func (book *Book) applyClaim(slot *Slot, record Record) Verdict {
	claim := record.Claim
	if record.Epoch == slot.epoch && claim.Host == slot.host && claim.Incarnation == slot.incarnation {
		if claim.Fenced {
			slot.former = nil
		}
		return Accepted
	}
	if record.Epoch <= slot.epoch {
		return StaleEpoch
	}
	if len(slot.witnesses) > 0 {
		slot.former = append(slices.Clip(slot.former), tenure{incarnation: slot.incarnation, witnesses: slot.witnesses})
	}
	slot.epoch = record.Epoch
	slot.host = claim.Host
	slot.incarnation = claim.Incarnation
	slot.witnesses = claim.Witnesses
	for _, program := range slot.programs {
		program.forfeited = program.granted - program.spent
	}
	return Accepted
}

func (book *Book) applyOpen(offset int64, record Record) Verdict {
	if _, ok := book.programs[record.Program]; ok {
		return Duplicate
	}
	if record.Open.Granted > record.Open.Budget {
		return OverBudget
	}
	if record.Open.Root != record.Program {
		root, ok := book.programs[record.Open.Root]
		if !ok || root.slot != record.Slot {
			return UnknownProgram
		}
		if root.ended != "" {
			return AlreadyEnded
		}
	}
	book.insert(&Program{
		id: record.Program, slot: record.Slot, open: *record.Open,
		granted: record.Open.Granted, touched: offset,
	})
	return Accepted
}

func (book *Book) applyCarry(offset int64, record Record) Verdict {
	carry := record.Carry
	if program, ok := book.programs[record.Program]; ok {
		if program.turns != carry.Turns {
			return OutOfOrder
		}
		program.head = carry.Head
		program.touched = offset
		return Accepted
	}
	book.insert(&Program{
		id: record.Program, slot: record.Slot, open: carry.Open, turns: carry.Turns, head: carry.Head,
		granted: carry.Open.Granted, spent: carry.Spent, forfeited: carry.Forfeited,
		ended: carry.Ended, intent: carry.Intent, age: carry.Age, touched: offset,
	})
	return Accepted
}

func (book *Book) insert(program *Program) {
	book.programs[program.id] = program
	book.slots[program.slot].programs[program.id] = program
}

func (book *Book) applyProgram(program *Program, record Record) Verdict {
	switch {
	case record.Grant != nil:
		return program.grant(record.Grant.Granted)
	case program.ended != "":
		return AlreadyEnded
	case record.End != nil:
		program.ended = record.End.Reason
		return Accepted
	case record.Intent != nil:
		return book.applyIntent(program, record.Intent)
	default:
		return book.applyTurn(program, record.Turn)
	}
}

func (book *Book) applyIntent(program *Program, intent *Intent) Verdict {
	if program.intent != nil || intent.Number != program.turns+1 {
		return OutOfOrder
	}
	if intent.Attempt == program.refused {
		return AlreadySettled
	}
	if verdict := book.root(program).grant(intent.Granted); verdict != Accepted {
		return verdict
	}
	program.intent = intent
	return Accepted
}

func (book *Book) applyTurn(program *Program, turn *Turn) Verdict {
	if program.intent != nil || turn.Number != program.turns+1 {
		return OutOfOrder
	}
	root := book.root(program)
	if verdict := root.grant(turn.Granted); verdict != Accepted {
		return verdict
	}
	root.settle(turn.Spent)
	program.turns = turn.Number
	program.head = turn.Head
	program.age = turn.Age
	return Accepted
}

// applyOutcome accepts an outcome from any epoch: it is a fact about a call
// that ran, whoever owns the slot by now.
func (book *Book) applyOutcome(offset int64, record Record) Verdict {
	program, ok := book.programs[record.Program]
	if !ok || program.slot != record.Slot {
		return UnknownProgram
	}
	outcome := record.Outcome
	if program.intent == nil || program.intent.Attempt != outcome.Attempt {
		return AlreadySettled
	}
	program.intent = nil
	program.touched = offset
	if outcome.Result == ResultNotRun {
		program.refused = outcome.Attempt
		return Accepted
	}
	book.root(program).settle(outcome.Spent)
	program.turns++
	program.head = outcome.Head
	return Accepted
}

func (book *Book) root(program *Program) *Program {
	if root, ok := book.programs[program.open.Root]; ok {
		return root
	}
	return program
}

// grant raises the granted part of the budget. It never lowers it, so that a
// late record takes no tokens back.
func (program *Program) grant(granted int64) Verdict {
	if granted > program.open.Budget {
		return OverBudget
	}
	program.granted = max(program.granted, granted)
	return Accepted
}

// settle counts spent tokens, first against those that were forfeited.
func (program *Program) settle(spent int64) {
	program.spent += spent
	program.forfeited = max(0, min(program.forfeited, program.granted-program.spent))
}

// CarryOf returns the record body that repeats the program's state.
func (program *Program) CarryOf() *Carry {
	open := program.open
	open.Granted = program.granted
	return &Carry{
		Open: open, Turns: program.turns, Head: program.head, Spent: program.spent,
		Forfeited: program.forfeited, Ended: program.ended, Intent: program.intent, Age: program.age,
	}
}
