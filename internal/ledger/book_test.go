package ledger_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/ledger"
)

// record returns a record of a program in slot 1.
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

func TestBookVerdicts(t *testing.T) {
	started := []ledger.Record{claim("1", 1, "a"), open("2", 1)}
	tests := []struct {
		name    string
		records []ledger.Record
		want    ledger.Verdict // of the last record
	}{
		{"first claim counts", []ledger.Record{claim("3", 1, "b")}, ledger.StaleEpoch},
		{"higher claim counts", []ledger.Record{claim("3", 2, "b")}, ledger.Accepted},
		{"repeated claim refreshes", []ledger.Record{claim("3", 1, "a")}, ledger.Accepted},
		{"same record twice", []ledger.Record{open("2", 1)}, ledger.Duplicate},
		{"program opened twice", []ledger.Record{open("3", 1)}, ledger.Duplicate},
		{"turn of the owner", []ledger.Record{turn("3", 1, 1)}, ledger.Accepted},
		{"turn of an earlier owner", []ledger.Record{claim("3", 2, "b"), turn("4", 1, 1)}, ledger.StaleEpoch},
		{"turn out of order", []ledger.Record{turn("3", 1, 2)}, ledger.OutOfOrder},
		{"turn twice under other ids", []ledger.Record{turn("3", 1, 1), turn("4", 1, 1)}, ledger.OutOfOrder},
		{"turn beside an open intent", []ledger.Record{intent("3", 1, "x", 1), turn("4", 1, 1)}, ledger.OutOfOrder},
		{"intent of an earlier owner", []ledger.Record{claim("3", 2, "b"), intent("4", 1, "x", 1)}, ledger.StaleEpoch},
		{"second intent", []ledger.Record{intent("3", 1, "x", 1), intent("4", 1, "y", 1)}, ledger.OutOfOrder},
		{"outcome of an earlier owner", []ledger.Record{intent("3", 1, "x", 1), claim("4", 2, "b"), outcome("5", 1, "x", ledger.ResultRan)}, ledger.Accepted},
		{"outcome after unknown", []ledger.Record{intent("3", 1, "x", 1), claim("4", 2, "b"), outcome("5", 2, "x", ledger.ResultUnknown), outcome("6", 1, "x", ledger.ResultRan)}, ledger.AlreadySettled},
		{"outcome of another attempt", []ledger.Record{intent("3", 1, "x", 1), outcome("4", 1, "x", ledger.ResultNotRun), intent("5", 1, "y", 1), outcome("6", 1, "x", ledger.ResultRan)}, ledger.AlreadySettled},
		{"intent that was voided lands again", []ledger.Record{intent("3", 1, "x", 1), outcome("4", 1, "x", ledger.ResultNotRun), intent("5", 1, "x", 1)}, ledger.AlreadySettled},
		{"intent that was settled lands again", []ledger.Record{intent("3", 1, "x", 1), outcome("4", 1, "x", ledger.ResultRan), intent("5", 1, "x", 1)}, ledger.OutOfOrder},
		{"grant over the budget", []ledger.Record{grant("3", 1, 101)}, ledger.OverBudget},
		{"turn of an unknown program", []ledger.Record{{ID: "3", Slot: 1, Epoch: 1, Program: "q", Turn: &ledger.Turn{Number: 1}}}, ledger.UnknownProgram},
		{"turn after the end", []ledger.Record{{ID: "3", Slot: 1, Epoch: 1, Program: "p", End: &ledger.End{}}, {ID: "4", Slot: 1, Epoch: 1, Program: "p", End: &ledger.End{Reason: ledger.EndIdle}}, turn("5", 1, 1)}, ledger.AlreadyEnded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			book := ledger.NewBook()
			var verdict ledger.Verdict
			for offset, record := range append(started[:2:2], test.records...) {
				verdict = book.Apply(int64(offset), record)
			}
			is.Equal(verdict, test.want)
		})
	}
}

func TestBookForfeitsAndKeepsGrants(t *testing.T) {
	is := is.New(t)
	book := ledger.NewBook()
	for offset, record := range []ledger.Record{claim("1", 1, "a"), open("2", 1), turn("3", 1, 1), claim("4", 2, "b"), grant("5", 2, 40), grant("6", 2, 30)} {
		is.Equal(book.Apply(int64(offset), record), ledger.Accepted)
	}
	program, ok := book.Program("p")
	is.True(ok)
	is.Equal(program.Spent(), int64(5))
	is.Equal(program.Forfeited(), int64(15)) // the rest of the first slice
	is.Equal(program.Granted(), int64(40))   // a late smaller grant takes nothing back
}

// TestBookCarry checks that a program rebuilt from a carried record equals the
// one that was carried.
func TestBookCarry(t *testing.T) {
	is := is.New(t)
	book := ledger.NewBook()
	for offset, record := range []ledger.Record{claim("1", 1, "a"), open("2", 1), turn("3", 1, 1), intent("4", 1, "x", 2)} {
		is.Equal(book.Apply(int64(offset), record), ledger.Accepted)
	}
	before, _ := book.Program("p")
	carried := record("10", 1)
	carried.Carry = before.CarryOf()
	late := ledger.NewBook()
	is.Equal(late.Apply(10, claim("9", 1, "a")), ledger.Accepted)
	is.Equal(late.Apply(11, carried), ledger.Accepted)
	after, ok := late.Program("p")
	is.True(ok)
	is.Equal(after.CarryOf(), before.CarryOf())
	is.Equal(book.Apply(11, carried), ledger.Accepted) // harmless for those that have it
	is.Equal(before.Turns(), 1)
}

func TestSlotFencing(t *testing.T) {
	tests := []struct {
		name      string
		witnesses []string
		refusing  []string
		fenced    bool
	}{
		{"no witnesses", nil, nil, true},
		{"one of three", []string{"x", "y", "z"}, []string{"x"}, false},
		{"two of three", []string{"x", "y", "z"}, []string{"x", "z"}, true},
		{"one of two", []string{"x", "y"}, []string{"y"}, true},
		{"the owner itself", []string{"x", "y", "z"}, []string{"a-1"}, true},
		{"strangers", []string{"x", "y", "z"}, []string{"u", "v"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			book := ledger.NewBook()
			book.Apply(0, claim("1", 1, "a", test.witnesses...))
			is.Equal(book.Slot(1).FencedBy(test.refusing), test.fenced)
			if test.fenced && len(test.witnesses) > 0 && test.refusing[0] != "a-1" {
				var others []string
				for _, witness := range test.witnesses {
					if !contains(test.refusing, witness) {
						others = append(others, witness)
					}
				}
				is.True(!book.Slot(1).RenewedBy(others)) // no majority is left
			}
		})
	}
}

// TestFormerOwnersStayUnfenced checks that a claim in between does not hide an
// owner that nobody has fenced.
func TestFormerOwnersStayUnfenced(t *testing.T) {
	is := is.New(t)
	book := ledger.NewBook()
	book.Apply(0, claim("1", 1, "a", "x", "y"))
	book.Apply(1, claim("2", 2, "b", "u", "v"))
	is.True(!book.Slot(1).FencedBy([]string{"b-1"}))
	is.True(book.Slot(1).FencedBy([]string{"b-1", "x"}))
	fenced := claim("3", 2, "b", "u", "v")
	fenced.Claim.Fenced = true
	book.Apply(2, fenced)
	is.True(book.Slot(1).FencedBy([]string{"b-1"}))
}

func contains(list []string, item string) bool {
	for _, each := range list {
		if each == item {
			return true
		}
	}
	return false
}

func ExampleLocation_IsZero() {
	fmt.Println(ledger.Location{}.IsZero(), ledger.Location{Offset: 0, Index: 1}.IsZero())
	// Output: true false
}

// FuzzDecodeBatch feeds the decoder of ledger appends with arbitrary bytes.
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
		book := ledger.NewBook()
		for _, record := range records {
			book.Apply(0, record)
		}
	})
}
