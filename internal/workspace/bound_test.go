package workspace_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The verdict is the same on every run unless a seed is asked for.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "6000", "rapid.steps": "120"} {
		if given := flag.Lookup(name); given != nil && given.Value.String() == given.DefValue {
			if err := flag.Set(name, value); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(2)
			}
		}
	}
	os.Exit(m.Run())
}

// message is on its way between a spender and a holder, or two holders.
type message struct {
	deliver func()
}

// counting is a fleet of two data centres with one workspace.
type counting struct {
	now      time.Time
	rate     float64
	burst    float64
	spenders []*workspace.Spender
	holders  []*workspace.Holder
	flying   []message
	serial   int
	level    float64
	levelAt  time.Time
	worst    float64
	admitted int
}

func newCounting(rate, burst float64) *counting {
	counting := &counting{now: time.Unix(0, 0), rate: rate, burst: burst, levelAt: time.Unix(0, 0)}
	for range 3 {
		counting.spenders = append(counting.spenders, workspace.NewSpender())
	}
	for index := range 2 {
		counting.holders = append(counting.holders, workspace.NewHolder(fmt.Sprint("holder", index)))
		counting.holders[index].Hold(counting.now, counting.now, "w", rate/2, burst/2)
	}
	return counting
}

func (counting *counting) admit(admissions []workspace.Admission) {
	for _, admission := range admissions {
		if admission.Refusal != nil {
			continue
		}
		counting.admitted++
		counting.level = math.Max(0, counting.level-counting.rate*counting.now.Sub(counting.levelAt).Seconds()) + 1
		counting.levelAt = counting.now
		counting.worst = math.Max(counting.worst, counting.level)
	}
}

func (counting *counting) send(deliver func()) {
	counting.flying = append(counting.flying, message{deliver: deliver})
}

// ask lets a spender ask a holder; both messages travel on their own.
func (counting *counting) ask(spender, place int) {
	for _, ask := range counting.spenders[spender].Asks(counting.now) {
		asked, holder := counting.now, counting.holders[place]
		counting.send(func() {
			grant := holder.Ask(counting.now, ask)
			counting.send(func() {
				counting.admit(counting.spenders[spender].Granted(counting.now, asked, grant))
			})
		})
	}
}

// collect lets a holder ask the other one for tokens.
func (counting *counting) collect(place int) {
	holder, other := counting.holders[place], counting.holders[1-place]
	asked := counting.now
	counting.send(func() {
		amount := other.Give(counting.now, workspace.Collect{Workspace: "w", Need: counting.burst})
		counting.send(func() { holder.Deposit(counting.now, asked, "w", amount) })
	})
}

// replace puts a new holder in the place of one that may still answer what is
// under way to it.
func (counting *counting) replace(place int) {
	counting.serial++
	counting.holders[place] = workspace.NewHolder(fmt.Sprint("holder", place, "-", counting.serial))
	counting.holders[place].Hold(counting.now, counting.now.Add(workspace.TakeoverWait), "w", counting.rate/2, counting.burst/2)
}

// TestRateBound checks every interval under delayed, lost and reordered
// messages and changes of holders.
func TestRateBound(t *testing.T) {
	total, busiest := 0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.SampledFrom([]float64{4, 10, 25}).Draw(t, "burst")
		counting := newCounting(rapid.SampledFrom([]float64{2, 10, 40}).Draw(t, "rate"), burst)
		spender, place := rapid.IntRange(0, 2), rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				index := spender.Draw(t, "spender")
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					counting.serial++
					counting.admit(counting.spenders[index].Arrive(counting.now, uint64(counting.serial), "w", counting.rate, counting.now.Add(time.Minute)))
				}
			},
			"ask": func(t *rapid.T) { counting.ask(spender.Draw(t, "spender"), place.Draw(t, "place")) },
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "count") {
					counting.deliver(rapid.IntRange(0, 50).Draw(t, "which"))
				}
			},
			"round": func(t *rapid.T) {
				index, to := spender.Draw(t, "spender"), place.Draw(t, "place")
				for range rapid.IntRange(1, 4).Draw(t, "rounds") {
					counting.round(index, to)
				}
			},
			"gather": func(t *rapid.T) {
				to := place.Draw(t, "place")
				counting.collect(to)
				counting.deliver(len(counting.flying) - 1)
				if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
					counting.deliver(len(counting.flying) - 1)
				}
			},
			"lose": func(t *rapid.T) {
				if len(counting.flying) > 0 {
					counting.flying = counting.flying[1:]
				}
			},
			"collect": func(t *rapid.T) { counting.collect(place.Draw(t, "place")) },
			"replace": func(t *rapid.T) {
				// A holder is replaced once its lease has run out, so what is
				// under way to it is answered by nobody.
				if rapid.IntRange(0, 9).Draw(t, "replaced") == 0 {
					counting.replace(place.Draw(t, "place"))
				}
			},
			"time": func(t *rapid.T) {
				counting.now = counting.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				for _, spender := range counting.spenders {
					counting.admit(spender.Tick(counting.now))
				}
			},
			"long time": func(t *rapid.T) {
				counting.now = counting.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				if counting.worst > burst+1e-6 {
					t.Fatalf("%.2f requests over the rate, the burst is %.0f", counting.worst, burst)
				}
			},
		})
		total += counting.admitted
		busiest = math.Max(busiest, counting.worst/burst)
	})
	is := is.New(t)
	is.True(total > 10_000)   // otherwise the check proves nothing
	is.True(busiest > 0.9999) // the bound is reached
}

// round lets a spender ask a holder and get its answer at once.
func (counting *counting) round(spender, place int) {
	counting.now = counting.now.Add(50 * time.Millisecond)
	counting.ask(spender, place)
	counting.deliver(len(counting.flying) - 1)
	counting.deliver(len(counting.flying) - 1)
}

func (counting *counting) deliver(index int) {
	if len(counting.flying) == 0 {
		return
	}
	index %= len(counting.flying)
	message := counting.flying[index]
	counting.flying = append(counting.flying[:index:index], counting.flying[index+1:]...)
	message.deliver()
}

func TestShares(t *testing.T) {
	text := &configuration.Text{DataCentres: []configuration.DataCentre{{Name: "a", Hosts: 4}, {Name: "b", Hosts: 4}, {Name: "c", Hosts: 3}}}
	tests := []struct {
		name  string
		burst float64
		homes bool
	}{
		{"split over the data centres", 30, false},
		{"too small to split", 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			space := configuration.Workspace{Name: "w", Rate: 9, Burst: test.burst}
			var rate, burst float64
			for _, place := range text.DataCentres {
				share := workspace.ShareOf(text, space, place.Name)
				rate += share.Rate
				burst += share.Burst
				is.Equal(share.Home != "", test.homes)
			}
			is.True(math.Abs(rate-9) < 1e-9)
			is.True(math.Abs(burst-test.burst) < 1e-9)
		})
	}
}

func ExampleAccount() {
	now := time.Unix(0, 0)
	account := workspace.NewAccount(now, 10, 5)
	now = now.Add(time.Second)
	_, lent := account.Lend(now, 3, time.Second)
	fmt.Println(lent, account.Tokens(now))
	// The loan counts against the cap until it has run out.
	fmt.Println(account.Tokens(now.Add(900*time.Millisecond)), account.Tokens(now.Add(2*time.Second)))
	// Output:
	// 3 2
	// 2 5
}

// TestTakeover lets a spender use its last grant of a holder while the next
// holder already grants.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	counting := newCounting(40, 10)
	arrive := func(spender, count int) {
		for range count {
			counting.serial++
			counting.admit(counting.spenders[spender].Arrive(counting.now, uint64(counting.serial), "w", 40, counting.now.Add(time.Minute)))
		}
	}
	counting.now = counting.now.Add(time.Minute)
	arrive(0, 10)
	counting.ask(0, 0)
	counting.deliver(0)
	counting.replace(0) // what was granted before is still under way
	counting.now = counting.now.Add(850 * time.Millisecond)
	counting.deliver(0)
	arrive(1, 30)
	counting.round(1, 0)
	counting.round(1, 1)
	is.True(counting.worst <= 10)
}

// TestSettleOfExpiredLoan reports a loan that has run out while a later one is
// still out.
func TestSettleOfExpiredLoan(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	account := workspace.NewAccount(now, 10, 10)
	now = now.Add(time.Second)
	first, _ := account.Lend(now, 4, time.Second)
	now = now.Add(1100 * time.Millisecond)
	_, lent := account.Lend(now, 6, time.Second)
	account.Settle(now, first, 4)
	now = now.Add(500 * time.Millisecond)
	is.Equal(account.Tokens(now)+lent, 10.0) // the later loan still counts
}

// TestLateDeposit drops moved tokens that have been on their way for longer
// than their giver counts them.
func TestLateDeposit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	holder := workspace.NewHolder("h")
	holder.Hold(now, now.Add(time.Hour), "w", 10, 10)
	later := now.Add(2 * workspace.GrantTTL)
	holder.Deposit(later, later.Add(-workspace.GrantTTL), "w", 5)
	is.Equal(holder.Tokens(later, "w"), 0.0)
	holder.Deposit(later, later.Add(-workspace.GrantTTL+time.Millisecond), "w", 5)
	is.Equal(holder.Tokens(later, "w"), 5.0)
}

// TestWholeTokens lets two hosts ask a holder that has less than a token. It
// grants nothing rather than parts that would run out unspent.
func TestWholeTokens(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	holder := workspace.NewHolder("h")
	holder.Hold(now, now, "w", 1, 4)
	now = now.Add(700 * time.Millisecond)
	ask := workspace.Ask{Workspace: "w", Need: 1, Least: 1}
	grant := holder.Ask(now, ask)
	is.Equal(grant.Amount, 0.0)
	is.True(grant.RetryAfter > 200*time.Millisecond && grant.RetryAfter <= 300*time.Millisecond) // when the token is whole
	is.Equal(holder.Ask(now.Add(300*time.Millisecond), ask).Amount, 1.0)
}
