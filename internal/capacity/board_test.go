package capacity

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBoard guards against a limit that outlives the target's statement or is
// lifted by an older one.
func TestBoard(t *testing.T) {
	is := is.New(t)
	board, start := NewBoard(), time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	is.True(!board.Observe("t", Announcement{ObservedAt: at(0)})) // a target without a limit
	is.True(board.Observe("t", Announcement{Limited: true, Rate: 4.5, ObservedAt: at(2)}))
	is.True(!board.Observe("t", Announcement{Limited: true, Rate: 4.5, ObservedAt: at(3)}))
	is.True(!board.Observe("t", Announcement{ObservedAt: at(1)})) // older
	rate, limited := board.Limit("t")
	is.True(limited)
	is.Equal(rate, 4.5)
	is.True(board.Observe("t", Announcement{Limited: true, Rate: 2, ObservedAt: at(4)}))
	is.Equal(board.Limits()["t"].Rate, 2.0)
	is.True(board.Observe("t", Announcement{ObservedAt: at(5)}))
	is.True(!board.Observe("t", Announcement{Limited: true, Rate: 2, ObservedAt: at(4)}))
	_, limited = board.Limit("t")
	is.True(!limited)
	is.Equal(len(board.Limits()), 0)
	board.Observe("t", Announcement{Limited: true, ObservedAt: at(6)})
	board.Retain(func(string) bool { return false })
	_, limited = board.Limit("t")
	is.True(!limited)
}
