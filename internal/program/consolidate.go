package program

import (
	"slices"

	"github.com/godwitspread/godwitspread/internal/ledger"
)

// consolidate stores the whole history of a quiet program as one entry, so
// that the older entries may expire. Its location takes effect with the carry
// that follows.
func (machine *Machine) consolidate(program *state, entry *ledger.Program) {
	quiet := program.active == nil && len(program.pipeline) == 0 && entry.Intent() == nil
	if !program.wantsOneEntry || program.consolidating || !quiet || len(program.entries) == 0 {
		return
	}
	last := len(program.entries) - 1
	whole := program.entries[last]
	whole.Prev = ledger.Location{}
	whole.Earlier = slices.Clone(program.entries[:last])
	program.consolidating = true
	machine.emit(Store{Entry: whole})
}

// consolidatedAt proposes to move the head of a program to its consolidated
// entry. Until that is read back, no later turn is chained to the old head.
func (machine *Machine) consolidatedAt(program *state, entry *ledger.Program, location ledger.Location) {
	record := machine.record(program.slot, program.id)
	record.Carry = entry.CarryOf()
	record.Carry.Head = location
	program.carryID = record.ID
	machine.emit(Append{Records: []ledger.Record{record}})
}

// carryApplied ends a consolidation.
func (machine *Machine) carryApplied(program *state, record ledger.Record, verdict ledger.Verdict) {
	if record.ID != program.carryID {
		return
	}
	program.consolidating = false
	if verdict == ledger.Accepted {
		program.wantsOneEntry = false
		program.consolidated = machine.now
	}
}
