// Package budget sees to it that all turns of a program together generate no
// more tokens than its budget, through whichever hosts they come.
//
// Hosts take parts of a budget before they spend them. The position of a
// taking in the store's log decides how much of it holds, so that every host
// counts the same; a host that is lost forfeits what it had taken.
package budget

import (
	"fmt"
	"sort"
	"time"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/store"
)

// entry is a taking from a budget, or a return with a negative number.
type entry struct {
	Program string `msgpack:"p"`
	Holder  string `msgpack:"h"` // incarnation of the host
	Budget  int    `msgpack:"b"`
	Tokens  int    `msgpack:"t"`
	Written int64  `msgpack:"w"` // Unix milliseconds
	Serial  int64  `msgpack:"s"` // number of the entry among its holder's
}

// account is what is known of one program.
type account struct {
	taken    int
	byHolder map[string]int
	written  int64
}

// ledger folds the takings of one partition in the order of the log.
type ledger struct {
	accounts map[string]*account
}

func newLedger() *ledger { return &ledger{accounts: make(map[string]*account)} }

// apply counts an entry and returns how much of it holds.
func (ledger *ledger) apply(entry entry) int {
	one, ok := ledger.accounts[entry.Program]
	if !ok {
		one = &account{byHolder: make(map[string]int)}
		ledger.accounts[entry.Program] = one
	}
	held := min(entry.Tokens, entry.Budget-one.taken)
	if entry.Tokens < 0 {
		held = max(entry.Tokens, -one.byHolder[entry.Holder])
	}
	if entry.Tokens > 0 {
		held = max(0, held)
	}
	one.taken += held
	one.byHolder[entry.Holder] += held
	one.written = max(one.written, entry.Written)
	return held
}

// fold counts a listing. Records from the offset on are left out, as reading
// goes on there. Each is called with what holds of an entry.
func (ledger *ledger) fold(records []store.Record, end int64, each func(entry, int)) error {
	sort.Slice(records, func(a, b int) bool { return records[a].Offset < records[b].Offset })
	for _, record := range records {
		if record.Offset >= end || record.Dropped() {
			continue
		}
		var one entry
		if err := codec.Unmarshal(record.Value, &one); err != nil {
			return fmt.Errorf("decode taking at offset %d: %w", record.Offset, err)
		}
		each(one, ledger.apply(one))
	}
	return nil
}

// taken returns what all hosts hold or have spent of a budget.
func (ledger *ledger) taken(program string) int {
	if one, ok := ledger.accounts[program]; ok {
		return one.taken
	}
	return 0
}

// holders returns the other hosts that hold a part of a budget.
func (ledger *ledger) holders(program, except string) []string {
	one, ok := ledger.accounts[program]
	if !ok {
		return nil
	}
	var holders []string
	for holder, tokens := range one.byHolder {
		if holder != except && tokens > 0 {
			holders = append(holders, holder)
		}
	}
	sort.Strings(holders)
	return holders
}

// forget drops programs without an entry since a time.
func (ledger *ledger) forget(before time.Time) {
	for program, one := range ledger.accounts {
		if one.written < before.UnixMilli() {
			delete(ledger.accounts, program)
		}
	}
}
