package ledger_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/ledger"
)

// record returns a record without a body for program p in slot 1.
func record(id string, epoch uint64) ledger.Record {
	return ledger.Record{ID: id, Slot: 1, Epoch: epoch, Program: "p"}
}

func claim(id string, epoch uint64, host string, witnesses ...string) ledger.Record {
	claim := record(id, epoch)
	claim.Program = ""
	claim.Claim = &ledger.Claim{Host: host, Incarnation: host + "-1", Witnesses: witnesses}
	return claim
}

func open(id string, epoch uint64) ledger.Record {
	open := record(id, epoch)
	open.Open = &ledger.Open{Root: "p", Workspace: "w", Budget: 100, Granted: 20}
	return open
}

func intent(id string, epoch uint64, attempt string, number int) ledger.Record {
	intent := record(id, epoch)
	intent.Intent = &ledger.Intent{Call: "c", Attempt: attempt, Number: number, Granted: 20}
	return intent
}

func outcome(id string, epoch uint64, attempt string, result ledger.Result) ledger.Record {
	outcome := record(id, epoch)
	outcome.Outcome = &ledger.Outcome{Call: "c", Attempt: attempt, Result: result, Head: ledger.Location{Index: 1}, Spent: 5}
	return outcome
}

func turn(id string, epoch uint64, number int) ledger.Record {
	turn := record(id, epoch)
	turn.Turn = &ledger.Turn{Call: id, Number: number, Head: ledger.Location{Index: 1}, Spent: 5, Granted: 20}
	return turn
}

func grant(id string, epoch uint64, granted int64) ledger.Record {
	grant := record(id, epoch)
	grant.Grant = &ledger.Grant{Granted: granted}
	return grant
}

// TestStateVerdicts guards against records that take effect although they are
// duplicated, out of order or written by an earlier owner.
func TestStateVerdicts(t *testing.T) {
	started := []ledger.Record{claim("1", 1, "a"), open("2", 1)}
	tests := []struct {
		name    string
		records []ledger.Record
		want    ledger.Verdict // of the last record
	}{
		{"claim with the current epoch by another host is stale", []ledger.Record{claim("3", 1, "b")}, ledger.StaleEpoch},
		{"claim with a higher epoch is accepted", []ledger.Record{claim("3", 2, "b")}, ledger.Accepted},
		{"repeated claim by the owner is accepted", []ledger.Record{claim("3", 1, "a")}, ledger.Accepted},
		{"record with a known id is a duplicate", []ledger.Record{open("2", 1)}, ledger.Duplicate},
		{"second open of a program is a duplicate", []ledger.Record{open("3", 1)}, ledger.Duplicate},
		{"turn of the owner is accepted", []ledger.Record{turn("3", 1, 1)}, ledger.Accepted},
		{"turn of an earlier owner is stale", []ledger.Record{claim("3", 2, "b"), turn("4", 1, 1)}, ledger.StaleEpoch},
		{"turn with a skipped number is out of order", []ledger.Record{turn("3", 1, 2)}, ledger.OutOfOrder},
		{"repeated turn with another id is out of order", []ledger.Record{turn("3", 1, 1), turn("4", 1, 1)}, ledger.OutOfOrder},
		{"turn during an open intent is out of order", []ledger.Record{intent("3", 1, "x", 1), turn("4", 1, 1)}, ledger.OutOfOrder},
		{"intent of an earlier owner is stale", []ledger.Record{claim("3", 2, "b"), intent("4", 1, "x", 1)}, ledger.StaleEpoch},
		{"second intent before the outcome is out of order", []ledger.Record{intent("3", 1, "x", 1), intent("4", 1, "y", 1)}, ledger.OutOfOrder},
		{"outcome of an earlier owner is accepted", []ledger.Record{intent("3", 1, "x", 1), claim("4", 2, "b"), outcome("5", 1, "x", ledger.ResultRan)}, ledger.Accepted},
		{"second outcome after an unknown one is already settled", []ledger.Record{intent("3", 1, "x", 1), claim("4", 2, "b"), outcome("5", 2, "x", ledger.ResultUnknown), outcome("6", 1, "x", ledger.ResultRan)}, ledger.AlreadySettled},
		{"outcome of an earlier attempt is already settled", []ledger.Record{intent("3", 1, "x", 1), outcome("4", 1, "x", ledger.ResultNotRun), intent("5", 1, "y", 1), outcome("6", 1, "x", ledger.ResultRan)}, ledger.AlreadySettled},
		{"repeated intent of an attempt that did not run is already settled", []ledger.Record{intent("3", 1, "x", 1), outcome("4", 1, "x", ledger.ResultNotRun), intent("5", 1, "x", 1)}, ledger.AlreadySettled},
		{"repeated intent of a settled attempt is out of order", []ledger.Record{intent("3", 1, "x", 1), outcome("4", 1, "x", ledger.ResultRan), intent("5", 1, "x", 1)}, ledger.OutOfOrder},
		{"grant that exceeds the budget is rejected", []ledger.Record{grant("3", 1, 101)}, ledger.OverBudget},
		{"turn of an unknown program is rejected", []ledger.Record{{ID: "3", Slot: 1, Epoch: 1, Program: "q", Turn: &ledger.Turn{Number: 1}}}, ledger.UnknownProgram},
		{"turn after the end is rejected", []ledger.Record{{ID: "3", Slot: 1, Epoch: 1, Program: "p", End: &ledger.End{}}, {ID: "4", Slot: 1, Epoch: 1, Program: "p", End: &ledger.End{Reason: ledger.EndIdle}}, turn("5", 1, 1)}, ledger.AlreadyEnded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			state := ledger.NewState()
			var verdict ledger.Verdict
			for offset, record := range append(started[:2:2], test.records...) {
				verdict = state.Apply(int64(offset), record)
			}
			is.Equal(verdict, test.want)
		})
	}
}

// TestForfeitedAndGrantedTokens guards against tokens that are spent twice
// after a change of owner, and against grants that are lowered by a delayed
// record.
func TestForfeitedAndGrantedTokens(t *testing.T) {
	is := is.New(t)
	state := ledger.NewState()
	for offset, record := range []ledger.Record{claim("1", 1, "a"), open("2", 1), turn("3", 1, 1), claim("4", 2, "b"), grant("5", 2, 40), grant("6", 2, 30)} {
		is.Equal(state.Apply(int64(offset), record), ledger.Accepted)
	}
	program, ok := state.Program("p")
	is.True(ok)
	is.Equal(program.Spent(), int64(5))
	is.Equal(program.Forfeited(), int64(15)) // granted tokens that the first owner did not settle
	is.Equal(program.Granted(), int64(40))   // a delayed smaller grant does not lower it
}

// TestStateSnapshot checks that a program restored from a snapshot equals the
// original, so that no state is lost when the log drops the older records.
func TestStateSnapshot(t *testing.T) {
	is := is.New(t)
	state := ledger.NewState()
	for offset, record := range []ledger.Record{claim("1", 1, "a"), open("2", 1), turn("3", 1, 1), intent("4", 1, "x", 2)} {
		is.Equal(state.Apply(int64(offset), record), ledger.Accepted)
	}
	before, _ := state.Program("p")
	snapshot := record("10", 1)
	snapshot.Snapshot = before.TakeSnapshot()
	rebuilt := ledger.NewState()
	is.Equal(rebuilt.Apply(10, claim("9", 1, "a")), ledger.Accepted)
	is.Equal(rebuilt.Apply(11, snapshot), ledger.Accepted)
	after, ok := rebuilt.Program("p")
	is.True(ok)
	is.Equal(after.TakeSnapshot(), before.TakeSnapshot())
	is.Equal(state.Apply(11, snapshot), ledger.Accepted) // has no effect on a state that contains the program
	is.Equal(before.Turns(), 1)
}

// TestSlotFencing guards against a slot that counts as fenced while a majority
// of its witnesses can still renew the lease.
func TestSlotFencing(t *testing.T) {
	tests := []struct {
		name      string
		witnesses []string
		refusing  []string
		fenced    bool
	}{
		{"owner without witnesses is fenced", nil, nil, true},
		{"one of three witnesses does not suffice", []string{"x", "y", "z"}, []string{"x"}, false},
		{"two of three witnesses suffice", []string{"x", "y", "z"}, []string{"x", "z"}, true},
		{"one of two witnesses suffices", []string{"x", "y"}, []string{"y"}, true},
		{"refusal by the owner itself suffices", []string{"x", "y", "z"}, []string{"a-1"}, true},
		{"hosts that are no witnesses do not count", []string{"x", "y", "z"}, []string{"u", "v"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			state := ledger.NewState()
			state.Apply(0, claim("1", 1, "a", test.witnesses...))
			is.Equal(state.Slot(1).FencedBy(test.refusing), test.fenced)
			if test.fenced && len(test.witnesses) > 0 && test.refusing[0] != "a-1" {
				var others []string
				for _, witness := range test.witnesses {
					if !contains(test.refusing, witness) {
						others = append(others, witness)
					}
				}
				is.True(!state.Slot(1).RenewedBy(others)) // no majority is left
			}
		})
	}
}

// TestFormerOwnersStayUnfenced guards against a later claim that hides an
// earlier owner which nobody has fenced.
func TestFormerOwnersStayUnfenced(t *testing.T) {
	is := is.New(t)
	state := ledger.NewState()
	state.Apply(0, claim("1", 1, "a", "x", "y"))
	state.Apply(1, claim("2", 2, "b", "u", "v"))
	is.True(!state.Slot(1).FencedBy([]string{"b-1"}))
	is.True(state.Slot(1).FencedBy([]string{"b-1", "x"}))
	fenced := claim("3", 2, "b", "u", "v")
	fenced.Claim.Fenced = true
	state.Apply(2, fenced)
	is.True(state.Slot(1).FencedBy([]string{"b-1"}))
}

func contains(list []string, item string) bool {
	for _, element := range list {
		if element == item {
			return true
		}
	}
	return false
}

func ExampleLocation_IsZero() {
	fmt.Println(ledger.Location{}.IsZero(), ledger.Location{Offset: 0, Index: 1}.IsZero())
	// Output: true false
}

// FuzzDecodeBatch checks that decoding and applying arbitrary bytes does not
// panic.
func FuzzDecodeBatch(f *testing.F) {
	data, err := ledger.EncodeBatch([]ledger.Record{claim("1", 1, "a"), turn("2", 1, 1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x91, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, _, err := ledger.DecodeBatch(data)
		if err != nil {
			return
		}
		state := ledger.NewState()
		for _, record := range records {
			state.Apply(0, record)
		}
	})
}
