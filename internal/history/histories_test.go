package history

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestArchiveChain(t *testing.T) {
	is := is.New(t)
	archive := newArchive(1 << 20)
	now := time.Unix(1000, 0)
	previous := ""
	for number := range 4 {
		id := fmt.Sprint("t", number)
		archive.put(&Turn{ID: id, Previous: previous, Root: "t0", Kept: now.UnixMilli(), Retention: time.Minute}, now)
		previous = id
	}
	turns, missing := archive.chain("t3")
	is.Equal(missing, "")
	is.Equal(len(turns), 4)
	is.Equal(turns[0].ID, "t0")
	archive.put(&Turn{ID: "u1", Previous: "u0", Kept: now.UnixMilli(), Retention: time.Minute}, now)
	turns, missing = archive.chain("u1")
	is.Equal(missing, "u0")
	is.Equal(len(turns), 1)
}

// TestArchiveBounds checks that memory is bounded by bytes and by time, oldest
// first.
func TestArchiveBounds(t *testing.T) {
	is := is.New(t)
	archive := newArchive(10 * (turnOverhead + 100))
	now := time.Unix(1000, 0)
	for number := range 50 {
		archive.put(&Turn{ID: fmt.Sprint(number), Input: make([]byte, 100), Kept: now.UnixMilli(), Retention: time.Minute}, now)
	}
	is.True(archive.bytes <= archive.bound)
	_, oldest := archive.get("0")
	_, newest := archive.get("49")
	is.True(!oldest && newest)
	later := now.Add(3 * time.Minute)
	archive.put(&Turn{ID: "late", Kept: later.UnixMilli(), Retention: time.Minute}, later)
	_, newest = archive.get("49")
	is.True(!newest)
}

// TestBefore checks that a listing after the returned key begins with the key.
func TestBefore(t *testing.T) {
	is := is.New(t)
	for _, key := range []string{"i/abc0", "i/9", "i/f000", "i/a1"} {
		is.True(before(key) < key)
		is.True(before(key) > key[:len(key)-1])
	}
}
