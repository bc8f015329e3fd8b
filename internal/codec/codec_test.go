package codec_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/codec"
)

// older is a message of an earlier version.
type older struct {
	Name string
	List []int
}

// newer is the same message of a later version, with one more field.
type newer struct {
	Name  string
	List  []int
	Extra *older
}

// TestVersions guards against messages that a host of another version cannot
// decode: it must ignore unknown fields and accept missing ones.
func TestVersions(t *testing.T) {
	is := is.New(t)
	data, err := codec.Marshal(newer{Name: "n", List: []int{1, 2}, Extra: &older{Name: "o"}})
	is.NoErr(err)
	var old older
	is.NoErr(codec.Unmarshal(data, &old))
	is.Equal(old, older{Name: "n", List: []int{1, 2}})
	data, err = codec.Marshal(old)
	is.NoErr(err)
	var fresh newer
	is.NoErr(codec.Unmarshal(data, &fresh))
	is.Equal(fresh, newer{Name: "n", List: []int{1, 2}})
}

// TestHostileInput guards against input that makes the decoder allocate memory for
// elements that it does not have.
func TestHostileInput(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{"array that claims 4 billion elements", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}},
		{"map that claims 4 billion elements", []byte{0xdf, 0xff, 0xff, 0xff, 0xff}},
		{"nesting deeper than the limit", bytes.Repeat([]byte{0x91}, 1<<20)},
		{"truncated array", []byte{0x92, 0x01}},
		{"empty input", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var target []newer
			is.True(codec.Unmarshal(test.data, &target) != nil)
		})
	}
}
