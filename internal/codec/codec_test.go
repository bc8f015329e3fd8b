package codec_test

import (
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
