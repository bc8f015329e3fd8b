package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestWindow checks that no span of the window's length takes more than the
// rate for that time and the burst, whatever comes.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 300).Draw(t, "burst")), Window: 5 * time.Second,
		}
		now := time.Unix(1000, 0)
		account := NewAccount(limit, NewHabits(), now)
		type taken struct {
			at    time.Time
			count int
		}
		var history []taken
		for range rapid.IntRange(1, 300).Draw(t, "questions") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "gap")) * time.Millisecond)
			question := Question{
				Limit: limit, Program: fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "program")), Route: "r", Want: rapid.IntRange(0, 24).Draw(t, "want"),
			}
			answer := account.Serve(question, 1, now)
			if answer.Admitted {
				history = append(history, taken{now.Add(answer.Delay), 1 + answer.Stock})
			}
		}
		for _, first := range history {
			total := 0
			for _, each := range history {
				if !each.at.Before(first.at) && each.at.Before(first.at.Add(limit.Window)) {
					total += each.count
				}
			}
			if bound := limit.Rate*limit.Window.Seconds() + limit.Burst + 1; float64(total) > bound {
				t.Fatalf("%d requests within %v, bound %v", total, limit.Window, bound)
			}
		}
	})
}

// TestProgramsAreAdmittedWhole replays a workspace that begins twice as many
// programs as its rate bears: those that begin mostly end.
func TestProgramsAreAdmittedWhole(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 40, Burst: 40, Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	account := NewAccount(limit, NewHabits(), now)
	const length, pause = 10, 100 * time.Millisecond
	type course struct {
		used int
		next time.Time
	}
	under := make(map[string]*course)
	begun, ended, stopped := 0, 0, 0
	for step := range 3000 {
		now = now.Add(10 * time.Millisecond)
		if step%10 == 0 { // ten programs a second, which need a hundred requests
			id := fmt.Sprint(step)
			if account.Serve(Question{Limit: limit, Program: id, Route: "r"}, 1, now).Admitted {
				under[id] = &course{used: 1, next: now.Add(pause)}
				begun++
			}
		}
		for id, one := range under {
			if now.Before(one.next) {
				continue
			}
			answer := account.Serve(Question{Limit: limit, Program: id, Route: "r"}, 1, now)
			switch {
			case !answer.Admitted:
				stopped++
				delete(under, id)
			case one.used+1 == length:
				ended++
				delete(under, id)
			default:
				one.used++
				one.next = now.Add(answer.Delay + pause)
			}
		}
	}
	t.Logf("begun %d, ended %d, stopped midway %d", begun, ended, stopped)
	is.True(stopped*10 <= ended)        // at most one in ten stops midway
	is.True(ended*length >= 30*40*7/10) // and the rate is used
}

// TestUrgentProgramsFindRoom replays a workspace at its rate: a less urgent
// program leaves room for an urgent one.
func TestUrgentProgramsFindRoom(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 40, Burst: 40, Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	account := NewAccount(limit, NewHabits(), now)
	is.True(account.Serve(Question{Limit: limit, Program: "u0", Route: "urgent", Urgent: true}, 1, now).Admitted)
	refused := false
	for number := range 100 {
		now = now.Add(5 * time.Millisecond)
		if !account.Serve(Question{Limit: limit, Program: fmt.Sprint(number), Route: "other"}, 1, now).Admitted {
			refused = true
			break
		}
	}
	is.True(refused)
	now = now.Add(100 * time.Millisecond)
	is.True(account.Serve(Question{Limit: limit, Program: "u1", Route: "urgent", Urgent: true}, 1, now).Admitted)
}

// TestPortions checks that accounts on both sides of a cut together stay
// within the limit.
func TestPortions(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 50, Burst: 50, Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	left, right := NewAccount(limit, NewHabits(), now), NewAccount(limit, NewHabits(), now)
	taken := 0
	end := now.Add(limit.Window)
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		for account, portion := range map[*Account]float64{left: 0.7, right: 0.3} {
			// A request with a delay runs after it.
			if answer := account.Serve(Question{Limit: limit}, portion, now); answer.Admitted && now.Add(answer.Delay).Before(end) {
				taken++
			}
		}
	}
	is.True(float64(taken) <= 50*5+50+2)
	is.True(taken >= 230)
}

func BenchmarkAccount(b *testing.B) {
	limit := Limit{Rate: 1e9, Burst: 1e9, Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	account := NewAccount(limit, NewHabits(), now)
	for number := range 1000 {
		account.Serve(Question{Limit: limit, Program: fmt.Sprint(number), Route: "r"}, 1, now)
	}
	question := Question{Limit: limit, Program: "7", Route: "r"}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		account.Serve(question, 1, now)
	}
}
