package configuration

import "fmt"

// refreshRecords repeats the whole state as records that change nothing for a
// reader that has it already. Withdrawals come first, so that no reader ever
// sees a key without its withdrawal.
func (state *State) refreshRecords(incarnation string, number int) []Record {
	var records []Record
	add := func(record Record) {
		record.ID = fmt.Sprintf("%s/refresh/%d/%d", incarnation, number, len(records))
		records = append(records, record)
	}
	for _, id := range state.ring.WithdrawnIDs() {
		add(Record{Withdraw: &Withdraw{Key: id, Author: "refresh"}})
	}
	for _, given := range state.ring.Keys() {
		add(Record{Give: &Give{Key: given.ID, Digest: given.Digest, Workspace: given.Workspace, Author: "refresh"}})
	}
	if state.version > 0 {
		add(Record{Change: &Change{Version: state.version, Author: state.author, Text: state.source, Refresh: true}})
	}
	return records
}
