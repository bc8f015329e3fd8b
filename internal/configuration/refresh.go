package configuration

import "fmt"

// refreshRecords returns the whole state as records that change nothing for a reader
// that is up to date. Withdrawals come first, so that no reader sees a key as valid
// before it sees its withdrawal.
func (state *State) refreshRecords(incarnation string, round int) []Record {
	var records []Record
	add := func(record Record) {
		record.ID = fmt.Sprintf("%s/refresh/%d/%d", incarnation, round, len(records))
		records = append(records, record)
	}
	for _, id := range state.ring.WithdrawnIDs() {
		add(Record{Withdraw: &Withdraw{Key: id, Author: "refresh"}})
	}
	for _, validKey := range state.ring.Keys() {
		add(Record{Give: &Give{Key: validKey.ID, Digest: validKey.Digest, Workspace: validKey.Workspace, Author: "refresh"}})
	}
	if state.version > 0 {
		add(Record{Change: &Change{Version: state.version, Author: state.author, Text: state.source, Refresh: true}})
	}
	return records
}
