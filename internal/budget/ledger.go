// Package budget ensures that all turns of a program together generate no more
// tokens than its budget, regardless of the hosts that run them.
//
// A host allocates tokens of a budget from the store before it spends them. The
// order of the entries in the store's log decides how many tokens each entry
// allocates, so that all hosts compute the same totals. The unspent allocation
// of a lost host is forfeited.
package budget

import (
	"fmt"
	"sort"
	"time"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/store"
)

// entry allocates tokens of a budget, or returns them if Tokens is negative.
type entry struct {
	Program string `msgpack:"p"`
	Holder  string `msgpack:"h"` // incarnation of the host
	Budget  int    `msgpack:"b"`
	Tokens  int    `msgpack:"t"`
	Written int64  `msgpack:"w"` // Unix milliseconds
	Serial  int64  `msgpack:"s"` // number of the entry among those of its holder
}

// account is the allocation state of one program.
type account struct {
	allocated   int
	byHolder    map[string]int
	lastWritten int64
}

// ledger folds the entries of one partition in the order of the log.
type ledger struct {
	accounts map[string]*account
}

func newLedger() *ledger { return &ledger{accounts: make(map[string]*account)} }

// apply adds an entry and returns how many tokens it allocates, which may be
// fewer than it requests.
func (ledger *ledger) apply(entry entry) int {
	current, ok := ledger.accounts[entry.Program]
	if !ok {
		current = &account{byHolder: make(map[string]int)}
		ledger.accounts[entry.Program] = current
	}
	granted := min(entry.Tokens, entry.Budget-current.allocated)
	if entry.Tokens < 0 {
		granted = max(entry.Tokens, -current.byHolder[entry.Holder])
	}
	if entry.Tokens > 0 {
		granted = max(0, granted)
	}
	current.allocated += granted
	current.byHolder[entry.Holder] += granted
	current.lastWritten = max(current.lastWritten, entry.Written)
	return granted
}

// fold applies listed records and calls visit with each entry and the tokens
// that it allocates. It skips records at or after the end offset, because
// reading continues there, and calls skipped with those that are no entries: every host
// skips the same ones.
func (ledger *ledger) fold(records []store.Record, end int64, visit func(entry, int), skipped func(store.Record, error)) {
	sort.Slice(records, func(a, b int) bool { return records[a].Offset < records[b].Offset })
	for _, record := range records {
		if record.Offset >= end || record.IsTombstone() {
			continue
		}
		var decoded entry
		if err := codec.Unmarshal(record.Value, &decoded); err != nil {
			skipped(record, err)
			continue
		}
		if decoded.Budget < 0 || decoded.Budget > maxBudget || decoded.Tokens < -maxBudget || decoded.Tokens > maxBudget {
			skipped(record, fmt.Errorf("entry allocates %d tokens of a budget of %d", decoded.Tokens, decoded.Budget))
			continue
		}
		visit(decoded, ledger.apply(decoded))
	}
}

// maxBudget bounds the numbers of an entry, so that sums of them do not overflow.
const maxBudget = 1 << 50

// allocated returns the tokens of a budget that all hosts have allocated,
// whether spent or not.
func (ledger *ledger) allocated(program string) int {
	if account, ok := ledger.accounts[program]; ok {
		return account.allocated
	}
	return 0
}

// holders returns the other hosts that have an allocation of a budget.
func (ledger *ledger) holders(program, except string) []string {
	account, ok := ledger.accounts[program]
	if !ok {
		return nil
	}
	var holders []string
	for holder, tokens := range account.byHolder {
		if holder != except && tokens > 0 {
			holders = append(holders, holder)
		}
	}
	sort.Strings(holders)
	return holders
}

// evict removes programs whose last entry was written before the given time.
func (ledger *ledger) evict(before time.Time) {
	for program, account := range ledger.accounts {
		if account.lastWritten < before.UnixMilli() {
			delete(ledger.accounts, program)
		}
	}
}
