package program

import (
	"slices"

	"github.com/godwitspread/godwitspread/internal/ledger"
)

// consolidate stores the whole history of an idle program as one entry, so
// that the older entries may expire. The entry becomes the head of the history
// when the snapshot record that follows is accepted.
func (machine *Machine) consolidate(program *state, committed *ledger.Program) {
	idle := program.active == nil && len(program.uncommitted) == 0 && committed.Intent() == nil
	if !program.consolidationDue || program.consolidating || !idle || len(program.entries) == 0 {
		return
	}
	last := len(program.entries) - 1
	consolidated := program.entries[last]
	consolidated.Prev = ledger.Location{}
	consolidated.Earlier = slices.Clone(program.entries[:last])
	program.consolidating = true
	machine.emit(StoreEntry{Entry: consolidated})
}

// proposeConsolidatedHead proposes a snapshot record whose head is the
// consolidated entry. No later turn is linked to the old head until that
// record is read back.
func (machine *Machine) proposeConsolidatedHead(program *state, committed *ledger.Program, location ledger.Location) {
	record := machine.record(program.slot, program.id)
	record.Snapshot = committed.TakeSnapshot()
	record.Snapshot.Head = location
	program.snapshotRecordID = record.ID
	machine.emit(Append{Records: []ledger.Record{record}})
}

// snapshotApplied ends the consolidation that proposed the snapshot record.
func (machine *Machine) snapshotApplied(program *state, record ledger.Record, verdict ledger.Verdict) {
	if record.ID != program.snapshotRecordID {
		return
	}
	program.consolidating = false
	if verdict == ledger.Accepted {
		program.consolidationDue = false
		program.consolidatedAt = machine.now
	}
}
