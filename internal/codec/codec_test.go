package codec_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/codec"
)

type older struct {
	Name string
	List []int
}

type newer struct {
	Name  string
	List  []int
	Extra *older
}

// TestVersions lets programs of two versions read each other's messages.
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

// TestHostileInput checks that input which claims too much is refused.
func TestHostileInput(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{"array of four thousand million", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}},
		{"map of four thousand million", []byte{0xdf, 0xff, 0xff, 0xff, 0xff}},
		{"nested without end", bytes.Repeat([]byte{0x91}, 1<<20)},
		{"cut short", []byte{0x92, 0x01}},
		{"empty", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var target []newer
			is.True(codec.Unmarshal(test.data, &target) != nil)
		})
	}
}
