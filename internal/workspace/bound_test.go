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
	// A fixed seed makes the result reproducible unless a flag sets another.
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

// message is in flight between a host and a coordinator or two coordinators.
type message struct {
	deliver func()
}

// quotaFleet simulates three hosts and the coordinators of two data centres with
// one workspace. Level is that of a leaky bucket with the workspace's rate, and
// its peak must not exceed the burst.
type quotaFleet struct {
	now          time.Time
	rate         float64
	burst        float64
	limiters     []*workspace.LocalLimiter
	coordinators []*workspace.Coordinator
	inFlight     []message
	lastID       int
	level        float64
	levelUpdated time.Time
	peakLevel    float64
	admitted     int
}

func newQuotaFleet(rate, burst float64) *quotaFleet {
	fleet := &quotaFleet{now: time.Unix(0, 0), rate: rate, burst: burst, levelUpdated: time.Unix(0, 0)}
	for range 3 {
		fleet.limiters = append(fleet.limiters, workspace.NewLocalLimiter())
	}
	for index := range 2 {
		fleet.coordinators = append(fleet.coordinators, workspace.NewCoordinator(fmt.Sprint("coordinator", index)))
		fleet.coordinators[index].SetAccount(fleet.now, fleet.now, "w", rate/2, burst/2)
	}
	return fleet
}

func (fleet *quotaFleet) record(admissions []workspace.Admission) {
	for _, admission := range admissions {
		if admission.Refusal != nil {
			continue
		}
		fleet.admitted++
		fleet.level = math.Max(0, fleet.level-fleet.rate*fleet.now.Sub(fleet.levelUpdated).Seconds()) + 1
		fleet.levelUpdated = fleet.now
		fleet.peakLevel = math.Max(fleet.peakLevel, fleet.level)
	}
}

func (fleet *quotaFleet) send(deliver func()) {
	fleet.inFlight = append(fleet.inFlight, message{deliver: deliver})
}

// requestTokens sends the token requests of a host to a coordinator. Requests
// and responses are delivered independently.
func (fleet *quotaFleet) requestTokens(limiter, dataCentre int) {
	for _, request := range fleet.limiters[limiter].Requests(fleet.now) {
		sentAt, coordinator := fleet.now, fleet.coordinators[dataCentre]
		fleet.send(func() {
			grant := coordinator.Grant(fleet.now, request)
			fleet.send(func() {
				fleet.record(fleet.limiters[limiter].AddGrant(fleet.now, sentAt, grant))
			})
		})
	}
}

// requestTransfer sends a transfer request from a coordinator to the other one.
func (fleet *quotaFleet) requestTransfer(dataCentre int) {
	coordinator, other := fleet.coordinators[dataCentre], fleet.coordinators[1-dataCentre]
	sentAt := fleet.now
	fleet.send(func() {
		amount := other.Transfer(fleet.now, workspace.TransferRequest{Workspace: "w", Need: fleet.burst})
		fleet.send(func() { coordinator.Deposit(fleet.now, sentAt, "w", amount) })
	})
}

// replaceCoordinator replaces a coordinator by a new one. The old one may still
// respond to requests in flight.
func (fleet *quotaFleet) replaceCoordinator(dataCentre int) {
	fleet.lastID++
	fleet.coordinators[dataCentre] = workspace.NewCoordinator(fmt.Sprint("coordinator", dataCentre, "-", fleet.lastID))
	fleet.coordinators[dataCentre].SetAccount(fleet.now, fleet.now.Add(workspace.TakeoverWait), "w", fleet.rate/2, fleet.burst/2)
}

// TestRateBound guards against admitting more than rate*t + burst requests in
// some interval. This comes about if tokens are counted twice because messages
// are delayed, lost or reordered or a coordinator is replaced.
func TestRateBound(t *testing.T) {
	total, busiest := 0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.SampledFrom([]float64{4, 10, 25}).Draw(t, "burst")
		fleet := newQuotaFleet(rapid.SampledFrom([]float64{2, 10, 40}).Draw(t, "rate"), burst)
		limiter, dataCentre := rapid.IntRange(0, 2), rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				index := limiter.Draw(t, "limiter")
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					fleet.lastID++
					fleet.record(fleet.limiters[index].Admit(fleet.now, uint64(fleet.lastID), "w", fleet.rate, fleet.now.Add(time.Minute)))
				}
			},
			"ask": func(t *rapid.T) { fleet.requestTokens(limiter.Draw(t, "limiter"), dataCentre.Draw(t, "data centre")) },
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "count") {
					fleet.deliver(rapid.IntRange(0, 50).Draw(t, "which"))
				}
			},
			"round": func(t *rapid.T) {
				index, to := limiter.Draw(t, "limiter"), dataCentre.Draw(t, "data centre")
				for range rapid.IntRange(1, 4).Draw(t, "rounds") {
					fleet.roundTrip(index, to)
				}
			},
			"gather": func(t *rapid.T) {
				to := dataCentre.Draw(t, "data centre")
				fleet.requestTransfer(to)
				fleet.deliver(len(fleet.inFlight) - 1)
				if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
					fleet.deliver(len(fleet.inFlight) - 1)
				}
			},
			"lose": func(t *rapid.T) {
				if len(fleet.inFlight) > 0 {
					fleet.inFlight = fleet.inFlight[1:]
				}
			},
			"collect": func(t *rapid.T) { fleet.requestTransfer(dataCentre.Draw(t, "data centre")) },
			"replace": func(t *rapid.T) {
				// A coordinator is replaced only once its lease has expired.
				if rapid.IntRange(0, 9).Draw(t, "replaced") == 0 {
					fleet.replaceCoordinator(dataCentre.Draw(t, "data centre"))
				}
			},
			"time": func(t *rapid.T) {
				fleet.now = fleet.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				for _, limiter := range fleet.limiters {
					fleet.record(limiter.Tick(fleet.now))
				}
			},
			"long time": func(t *rapid.T) {
				fleet.now = fleet.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				if fleet.peakLevel > burst+1e-6 {
					t.Fatalf("got %.2f requests above the rate, want at most the burst of %.0f", fleet.peakLevel, burst)
				}
			},
		})
		total += fleet.admitted
		busiest = math.Max(busiest, fleet.peakLevel/burst)
	})
	is := is.New(t)
	is.True(total > 10_000)   // too few admissions would make the check meaningless
	is.True(busiest > 0.9999) // the test must come close to the bound
}

// roundTrip sends the token requests of a host to a coordinator and delivers the
// response at once.
func (fleet *quotaFleet) roundTrip(limiter, dataCentre int) {
	fleet.now = fleet.now.Add(50 * time.Millisecond)
	fleet.requestTokens(limiter, dataCentre)
	fleet.deliver(len(fleet.inFlight) - 1)
	fleet.deliver(len(fleet.inFlight) - 1)
}

func (fleet *quotaFleet) deliver(index int) {
	if len(fleet.inFlight) == 0 {
		return
	}
	index %= len(fleet.inFlight)
	message := fleet.inFlight[index]
	fleet.inFlight = append(fleet.inFlight[:index:index], fleet.inFlight[index+1:]...)
	message.deliver()
}

// TestSharesAddUp guards against shares whose sum differs from the rate or burst
// of the workspace, whether it is split or stays in one data centre.
func TestSharesAddUp(t *testing.T) {
	text := &configuration.Text{DataCentres: []configuration.DataCentre{{Name: "a", Hosts: 4}, {Name: "b", Hosts: 4}, {Name: "c", Hosts: 3}}}
	tests := []struct {
		name   string
		burst  float64
		single bool
	}{
		{"a large burst is split over the data centres", 30, false},
		{"a small burst stays in one data centre", 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			space := configuration.Workspace{Name: "w", Rate: 9, Burst: test.burst}
			var rate, burst float64
			for _, dataCentre := range text.DataCentres {
				share := workspace.ShareOf(text, space, dataCentre.Name)
				rate += share.Rate
				burst += share.Burst
				is.Equal(share.SoleDataCentre != "", test.single)
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
	// The loan counts against the capacity until it expires.
	fmt.Println(account.Tokens(now.Add(900*time.Millisecond)), account.Tokens(now.Add(2*time.Second)))
	// Output:
	// 3 2
	// 2 5
}

// TestTakeover guards against exceeding the burst when a host spends its last
// grant of a replaced coordinator while the new one already issues grants.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	fleet := newQuotaFleet(40, 10)
	admit := func(limiter, count int) {
		for range count {
			fleet.lastID++
			fleet.record(fleet.limiters[limiter].Admit(fleet.now, uint64(fleet.lastID), "w", 40, fleet.now.Add(time.Minute)))
		}
	}
	fleet.now = fleet.now.Add(time.Minute)
	admit(0, 10)
	fleet.requestTokens(0, 0)
	fleet.deliver(0)
	fleet.replaceCoordinator(0) // the earlier grant is still in flight
	fleet.now = fleet.now.Add(850 * time.Millisecond)
	fleet.deliver(0)
	admit(1, 30)
	fleet.roundTrip(1, 0)
	fleet.roundTrip(1, 1)
	is.True(fleet.peakLevel <= 10)
}

// TestSettleOfExpiredLoan guards against a late usage report of an expired loan
// that frees the capacity of a later loan.
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
	is.Equal(account.Tokens(now)+lent, 10.0) // the later loan still counts against the capacity
}

// TestLateDeposit guards against double counting of moved tokens that arrive
// after the loan of the sending account has expired.
func TestLateDeposit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	coordinator := workspace.NewCoordinator("h")
	coordinator.SetAccount(now, now.Add(time.Hour), "w", 10, 10)
	later := now.Add(2 * workspace.GrantTTL)
	coordinator.Deposit(later, later.Add(-workspace.GrantTTL), "w", 5)
	is.Equal(coordinator.Tokens(later, "w"), 0.0)
	coordinator.Deposit(later, later.Add(-workspace.GrantTTL+time.Millisecond), "w", 5)
	is.Equal(coordinator.Tokens(later, "w"), 5.0)
}

// TestWholeTokens guards against splitting a token into fractions that expire
// unspent, when hosts request tokens from an account with less than one.
func TestWholeTokens(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	coordinator := workspace.NewCoordinator("h")
	coordinator.SetAccount(now, now, "w", 1, 4)
	now = now.Add(700 * time.Millisecond)
	request := workspace.QuotaRequest{Workspace: "w", Need: 1, MinAmount: 1}
	grant := coordinator.Grant(now, request)
	is.Equal(grant.Amount, 0.0)
	is.True(grant.RetryAfter > 200*time.Millisecond && grant.RetryAfter <= 300*time.Millisecond) // when the account has a whole token
	is.Equal(coordinator.Grant(now.Add(300*time.Millisecond), request).Amount, 1.0)
}
