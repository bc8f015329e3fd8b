package configuration_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/configuration"
)

// TestExamples guards against a change of the format after which the example
// configurations no longer parse.
func TestExamples(t *testing.T) {
	for _, name := range []string{"sahakorn", "brandtaeppe"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("../../examples/" + name + ".yaml")
			is.NoErr(err)
			text, err := configuration.Parse(data)
			is.NoErr(err)
			is.Equal(len(text.DataCentres), 3)
			is.Equal(text.Services[0].Window, 8)
		})
	}
}

const validText = `data_centres:
  - {name: a, hosts: 2}
services:
  - {name: draft, kind: engine, repeatable: true, targets: [{data_centre: a, address: "127.0.0.1:1"}]}
workspaces:
  - {name: w, rate: 5, burst: 10}
`

// TestProblems guards against invalid texts that are accepted, and against errors that
// omit a problem or its position.
func TestProblems(t *testing.T) {
	tests := []struct {
		name string
		from string
		to   string
		want []string
	}{
		{"syntax error", "data_centres:", "data_centres: [", []string{"line"}},
		{"unknown field", "hosts: 2", "hosts: 2, colour: red", []string{`line 2, column 25: $.data_centres[0].colour: field "colour" does not exist here`}},
		{"value of the wrong type", "rate: 5", "rate: fast", []string{"line 6"}},
		{"number out of range", "burst: 10", "burst: 0", []string{"line 6, column 31: $.workspaces[0].burst: burst 0 is outside 1"}},
		{"unknown data centre", "data_centre: a,", "data_centre: z,", []string{`data centre "z" does not exist`}},
		{"unknown dependency", "kind: engine,", "kind: engine, depends_on: [x],", []string{`service "x" does not exist`}},
		{"dependency cycle", "kind: engine,", "kind: engine, depends_on: [draft],", []string{"depends on itself through a cycle"}},
		{"duplicate name", "  - {name: w, rate: 5, burst: 10}", "  - {name: w, rate: 5, burst: 10}\n  - {name: w, rate: 5, burst: 10}", []string{"already used by $.workspaces[0]"}},
		{"address with a host name", `"127.0.0.1:1"`, `"localhost:1"`, []string{"is not an IP number with a port"}},
		{"several problems", "rate: 5, burst: 10", "rate: -1, burst: 0, colour: red", []string{"rate -1", "burst 0", `"colour"`}},
		{"engine that is not repeatable", "repeatable: true, ", "", []string{"an engine's calls are repeatable"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := configuration.Parse([]byte(strings.Replace(validText, test.from, test.to, 1)))
			var problems configuration.Problems
			is.True(errors.As(err, &problems))
			for _, want := range test.want {
				is.True(strings.Contains(err.Error(), want)) // the problem with its position
			}
		})
	}
}

func changeRecord(version, base uint64, text string) configuration.Record {
	return configuration.Record{ID: fmt.Sprint("c", version, base, len(text)), Change: &configuration.Change{Version: version, Base: base, Text: []byte(text)}}
}

func refreshRecord(version uint64) configuration.Record {
	record := changeRecord(version, 0, validText)
	record.Change.Refresh = true
	return record
}

func giveRecord(id string) configuration.Record {
	return configuration.Record{ID: "g" + id, Give: &configuration.Give{Key: id, Digest: []byte("digest of " + id), Workspace: "w"}}
}

func withdrawRecord(id string) configuration.Record {
	return configuration.Record{ID: "w" + id, Withdraw: &configuration.Withdraw{Key: id}}
}

// TestStateApply guards against hosts that disagree on the current version, or that make
// a withdrawn key valid again, when changes are concurrent, refreshes are delayed or
// records are repeated.
func TestStateApply(t *testing.T) {
	tests := []struct {
		name    string
		records []configuration.Record
		want    configuration.Verdict // of the last record
		version uint64
	}{
		{"first change is accepted", []configuration.Record{changeRecord(1, 0, validText)}, configuration.Accepted, 1},
		{"second of two concurrent changes", []configuration.Record{changeRecord(1, 0, validText), changeRecord(1, 0, validText+"# mine")}, configuration.Outdated, 1},
		{"change based on an old version", []configuration.Record{changeRecord(1, 0, validText), changeRecord(2, 1, validText), changeRecord(2, 1, validText+"# mine")}, configuration.Outdated, 2},
		{"invalid text", []configuration.Record{changeRecord(1, 0, "nonsense: 1")}, configuration.Invalid, 0},
		{"refresh of the current version", []configuration.Record{changeRecord(1, 0, validText), refreshRecord(1)}, configuration.Refreshed, 1},
		{"delayed refresh does not revert", []configuration.Record{changeRecord(1, 0, validText), changeRecord(2, 1, validText), refreshRecord(1)}, configuration.Outdated, 2},
		{"refresh is the first record", []configuration.Record{refreshRecord(7)}, configuration.Accepted, 7},
		{"key given again after its withdrawal", []configuration.Record{giveRecord("k"), withdrawRecord("k"), giveRecord("k")}, configuration.AlreadyWithdrawn, 0},
		{"key given after its withdrawal", []configuration.Record{withdrawRecord("k"), giveRecord("k")}, configuration.AlreadyWithdrawn, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			state := configuration.NewState()
			var verdict configuration.Verdict
			for offset, record := range test.records {
				verdict = state.Apply(int64(offset), record)
			}
			is.Equal(verdict, test.want)
			is.Equal(state.Version(), test.version)
			is.Equal(len(state.Ring().Keys()), 0)
		})
	}
}

// TestSnapshot guards against a peer's snapshot that reverts the state of a host that
// has applied a longer prefix of the stream, or that makes a withdrawn key valid
// again.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	behind, ahead := configuration.NewState(), configuration.NewState()
	records := []configuration.Record{changeRecord(1, 0, validText), giveRecord("k"), giveRecord("l"), changeRecord(2, 1, validText+"# two"), withdrawRecord("k")}
	for offset, record := range records {
		ahead.Apply(int64(offset), record)
		if offset < 3 {
			behind.Apply(int64(offset), record)
		}
	}
	is.True(!ahead.Merge(behind.Snapshot()))
	is.Equal(ahead.Version(), uint64(2))
	is.True(!ahead.Ring().Valid("k"))
	is.True(behind.Merge(ahead.Snapshot()))
	is.Equal(behind.Snapshot(), ahead.Snapshot())
}

// TestRecordRoundTrip guards against records that change in the stream, and against
// texts that are stored uncompressed.
func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	record := changeRecord(1, 0, strings.Repeat(validText, 100))
	data, err := record.Encode()
	is.NoErr(err)
	is.True(len(data) < len(record.Change.Text)/10) // the text is compressed
	decoded, err := configuration.Decode(data)
	is.NoErr(err)
	is.Equal(decoded, record)
}

// FuzzParse guards against panics, and against results with both or neither of a text and
// an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte("services: [{name: a, depends_on: [a]}]"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := configuration.Parse(data)
		if (text == nil) == (err == nil) {
			t.Fatalf("got text %v and error %v, want exactly one of them", text, err)
		}
	})
}

// FuzzDecode guards against records from the stream that crash the host that decodes and
// applies them.
func FuzzDecode(f *testing.F) {
	data, err := giveRecord("k").Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if record, err := configuration.Decode(data); err == nil {
			configuration.NewState().Apply(0, record)
		}
	})
}
