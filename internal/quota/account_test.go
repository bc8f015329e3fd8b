package quota

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestWindow checks that no span of the window's length takes more than the
// rate for that time, the burst and the reserve, whatever comes.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 300).Draw(t, "burst")), Window: 5 * time.Second,
			Reserve: float64(rapid.IntRange(0, 30).Draw(t, "reserve")),
		}
		now := time.Unix(1000, 0)
		account := NewAccount(limit, Usual, NewHabits(), now)
		type taken struct {
			at    time.Time
			count int
		}
		var history []taken
		for range rapid.IntRange(1, 300).Draw(t, "questions") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "gap")) * time.Millisecond)
			question := Question{
				Limit: limit, Program: fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "program")), Route: "r",
			}
			answer := account.Serve(question, 1, now)
			if answer.Admitted {
				history = append(history, taken{now.Add(answer.Delay), 1})
			}
		}
		for _, first := range history {
			total := 0
			for _, each := range history {
				if !each.at.Before(first.at) && each.at.Before(first.at.Add(limit.Window)) {
					total += each.count
				}
			}
			if bound := limit.Rate*limit.Window.Seconds() + limit.Burst + limit.Reserve + 1; float64(total) > bound {
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
	account := NewAccount(limit, Usual, NewHabits(), now)
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

// TestLoweredRate replays a workspace whose limit is halved while it begins
// programs that call several tools at once: of those under way hardly any is
// stopped, and no window takes more than the deployment tolerates.
func TestLoweredRate(t *testing.T) {
	is := is.New(t)
	terms := Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	account := NewAccount(terms.Limit(80, 80), Usual, NewHabits(), now)
	type course struct {
		rounds int
		next   time.Time
	}
	under := make(map[string]*course)
	ended, stopped := 0, 0
	var taken []time.Time
	for step := range 4000 {
		now = now.Add(10 * time.Millisecond)
		limit := terms.Limit(80, 80)
		if step >= 1000 {
			limit = terms.Limit(40, 40)
		}
		serve := func(program string) Answer {
			answer := account.Serve(Question{Limit: limit, Program: program, Route: "r"}, 1, now)
			if answer.Admitted && step >= 1500 {
				taken = append(taken, now.Add(answer.Delay))
			}
			return answer
		}
		if random.IntN(14) == 0 {
			id := fmt.Sprint(step)
			if answer := serve(id); answer.Admitted {
				under[id] = &course{next: now.Add(answer.Delay + 120*time.Millisecond)}
			}
		}
		for number := range step {
			id := fmt.Sprint(number)
			one, ok := under[id]
			if !ok || now.Before(one.next) {
				continue
			}
			one.rounds++
			for range 1 + random.IntN(4) {
				if answer := serve(id); !answer.Admitted {
					stopped++
					delete(under, id)
					break
				} else if next := now.Add(answer.Delay + 120*time.Millisecond); next.After(one.next) {
					one.next = next
				}
			}
			if under[id] != nil && one.rounds == 4 {
				ended++
				delete(under, id)
			}
		}
	}
	t.Logf("ended %d, stopped midway %d", ended, stopped)
	is.True(stopped*50 <= ended)
	most := (40*5+40)*1.1 + 20
	sort.Slice(taken, func(left, right int) bool { return taken[left].Before(taken[right]) })
	for first, last := 0, 0; last < len(taken); last++ {
		for !taken[last].Before(taken[first].Add(terms.Window)) {
			first++
		}
		is.True(float64(last-first+1) <= most)
	}
}

// TestCalmWorkspace replays a workspace that stays within its limit, with
// bursts far above its rate: nothing is refused and nothing waits.
func TestCalmWorkspace(t *testing.T) {
	is := is.New(t)
	limit := Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}.Limit(40, 40)
	now := time.Unix(1000, 0)
	account := NewAccount(limit, Usual, NewHabits(), now)
	now = now.Add(5 * time.Second)
	account.Serve(Question{Limit: limit, Program: "first", Route: "r"}, 1, now)
	for burst := range 4 {
		now = now.Add(5 * time.Second)
		for range 14 { // 210 requests within a second, of 240 in five
			for number := range 15 {
				program := fmt.Sprint(burst, "/", number)
				answer := account.Serve(Question{Limit: limit, Program: program, Route: "r", Left: 1500 * time.Millisecond}, 1, now)
				is.Equal(answer, Answer{Admitted: true})
			}
			now = now.Add(70 * time.Millisecond)
		}
	}
}

// TestCutAndHealed checks that an account which has been cut off from a part of
// the hosts does not grant at once what that part may have used.
func TestCutAndHealed(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 50, Burst: 50, Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	account := NewAccount(limit, Usual, NewHabits(), now)
	take := func(portion float64) int {
		taken := 0
		for account.Serve(Question{Limit: limit}, portion, now) == (Answer{Admitted: true}) {
			taken++
		}
		return taken
	}
	now = now.Add(10 * time.Second)
	account.Serve(Question{Limit: limit}, 0.3, now)
	now = now.Add(6 * time.Second)
	is.True(take(0.3) <= 90) // three tenths of 300
	now = now.Add(100 * time.Millisecond)
	is.True(take(1) <= 10)
	now = now.Add(6 * time.Second)
	is.True(take(1) > 200)
}

// TestRaisedLimit checks that a higher limit holds at once, for the whole
// window.
func TestRaisedLimit(t *testing.T) {
	is := is.New(t)
	low, high := Limit{Rate: 10, Burst: 10, Window: 5 * time.Second}, Limit{Rate: 40, Burst: 40, Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	account := NewAccount(low, Usual, NewHabits(), now)
	for range 600 {
		now = now.Add(10 * time.Millisecond)
		account.Serve(Question{Limit: low}, 1, now)
	}
	taken := 0
	for account.Serve(Question{Limit: high}, 1, now) == (Answer{Admitted: true}) {
		taken++
	}
	is.True(taken >= 170) // 240 less the 60 of the lower limit
	is.True(taken <= 185)
}

// TestReturnedRequests checks that requests which have not run do not count.
func TestReturnedRequests(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 10, Burst: 10, Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	account := NewAccount(limit, Usual, NewHabits(), now)
	for number := range 600 {
		now = now.Add(10 * time.Millisecond)
		is.True(account.Serve(Question{Limit: limit, Returned: min(1, number)}, 1, now).Admitted)
	}
}

// TestUrgentProgramsFindRoom replays a workspace at its rate: a less urgent
// program leaves room for an urgent one.
func TestUrgentProgramsFindRoom(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 40, Burst: 40, Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	account := NewAccount(limit, Usual, NewHabits(), now)
	is.True(account.Serve(Question{Limit: limit, Program: "u0", Route: "urgent", Urgent: true}, 1, now).Admitted)
	now = now.Add(5 * time.Second)
	account.Serve(Question{Limit: limit}, 1, now)
	refused := false
	for number := range 100 {
		now = now.Add(5 * time.Millisecond)
		if !account.Serve(Question{Limit: limit, Program: fmt.Sprint(number), Route: "other"}, 1, now).Admitted {
			refused = true
			break
		}
	}
	is.True(refused)
	is.True(account.Serve(Question{Limit: limit, Program: "u1", Route: "urgent", Urgent: true}, 1, now).Admitted)
}

// TestPortions checks that accounts on both sides of a cut together stay
// within the limit.
func TestPortions(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 50, Burst: 50, Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	left, right := NewAccount(limit, Usual, NewHabits(), now), NewAccount(limit, Usual, NewHabits(), now)
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
	account := NewAccount(limit, Usual, NewHabits(), now)
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
