package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	maxReported              = 256  // entries of a report
	maxReporters             = 2048 // hosts and accounts whose reports an account remembers before it removes old ones; six for each host of the largest fleet
	admissionsExpiryInterval = 250 * time.Millisecond
)

// Report is what a host was admitted for in the window. Coordinators that take an
// account over without its history restore it from the reports.
type Report struct {
	Reporter uint64     `msgpack:"r"`
	Uses     []Reported `msgpack:"u,omitempty"`
}

// Reported is a number of requests that were admitted by one account at about one time.
type Reported struct {
	Account uint64        `msgpack:"a"`
	Age     time.Duration `msgpack:"g"` // negative if they run later
	Count   int           `msgpack:"c"`
}

// hostAccount identifies the requests of one host that an account has admitted.
type hostAccount struct{ reporter, account uint64 }

// observeReport adds what a host was admitted for by other accounts: what ran before this
// account began is credited when it leaves the window, and the rest is recorded as used.
// The uses of one host and account count once, because the report is repeated until a
// response arrives.
func (account *Account) observeReport(report *Report, now time.Time) {
	if report == nil || len(report.Uses) > maxReported {
		return
	}
	if len(account.reported) > maxReporters {
		removeOld(account.reported, now.Add(-2*account.limit.Window))
	}
	seen := make(map[hostAccount]bool)
	for _, use := range report.Uses {
		key := hostAccount{report.Reporter, use.Account}
		copied, continued := account.copied[use.Account]
		if use.Account == account.id || !continued && !account.merged[use.Account].IsZero() || !account.reported[key].IsZero() {
			continue
		}
		seen[key] = true
		if use.Count <= 0 || float64(use.Count) > account.limit.capacity()+account.limit.Reserve || use.Age < -maxAhead || use.Age > account.limit.Window {
			continue
		}
		if continued {
			account.addCopied(use, copied, now)
			continue
		}
		account.window.addReported(use, account.limit.capacity()+account.limit.Reserve)
	}
	for key := range seen {
		account.reported[key] = now
	}
}

// removeOld removes what was added before a time.
func removeOld[Key comparable](added map[Key]time.Time, before time.Time) {
	maps.DeleteFunc(added, func(_ Key, at time.Time) bool { return at.Before(before) })
}

// addReported adds the requests of another account, which had granted at most the limit
// before this one began.
func (window *window) addReported(use Reported, limit float64) {
	if use.Age < 0 {
		window.record(float64(use.Count), -use.Age)
		return
	}
	slot := window.current - int64(use.Age/slotDuration)
	switch {
	case slot <= window.current-window.slots || slot < window.unknownBefore:
	case window.history.until > 0 && slot < window.history.until-window.slots:
		window.history.credit(slot, float64(use.Count), limit)
	case slot >= 0:
		window.uses[window.index(slot)] += float64(use.Count)
		window.used += float64(use.Count)
		window.history.used += float64(use.Count)
		window.bound.changed = min(window.bound.changed, slot)
	}
}

// admissions are the requests of a workspace that this host was admitted for in the last
// window.
type admissions struct {
	account     uint64 // that has admitted the latest request
	coordinator string // that keeps this account
	reported    bool   // the account has the requests that others have admitted
	keeper      string // coordinator that has decided on the latest request, "" if it is this host
	pushedTo    string // coordinator that got the last report without a request
	window      time.Duration
	expiredAt   time.Time
	uses        map[Use]*admitted
}

// admitted are the requests that are recorded in one slot of an account.
type admitted struct {
	latest time.Time // at which one of them runs
	count  int
}

func newAdmissions(window time.Duration) *admissions {
	return &admissions{window: window, uses: make(map[Use]*admitted)}
}

// record counts an admitted request that runs at a time.
func (admissions *admissions) record(use Use, at time.Time) {
	entry, ok := admissions.uses[use]
	if !ok {
		entry = &admitted{}
		admissions.uses[use] = entry
	}
	entry.count++
	if at.After(entry.latest) {
		entry.latest = at
	}
}

// refund removes a request that has not run.
func (admissions *admissions) refund(use Use) {
	entry, ok := admissions.uses[use]
	if !ok {
		return
	}
	if entry.count--; entry.count <= 0 {
		delete(admissions.uses, use)
	}
}

// report returns the requests within the window for the coordinator at an address, or nil
// if its account has them. The empty address stands for this host's fallback account; the
// next request to the coordinator then reports everything again.
func (admissions *admissions) report(reporter uint64, coordinator string, window time.Duration, now time.Time) *Report {
	if coordinator != admissions.coordinator {
		admissions.coordinator, admissions.account, admissions.reported = coordinator, 0, false
	}
	admissions.window = window
	if now.Sub(admissions.expiredAt) >= admissionsExpiryInterval {
		admissions.expire(now)
	}
	if admissions.reported || len(admissions.uses) == 0 {
		return nil
	}
	report := &Report{Reporter: reporter}
	for use, entry := range admissions.uses {
		if age := now.Sub(entry.latest); use.Account != admissions.account && age <= window {
			report.Uses = append(report.Uses, Reported{Account: use.Account, Age: age, Count: entry.count})
		}
	}
	slices.SortFunc(report.Uses, func(left, right Reported) int { return cmp.Compare(left.Age, right.Age) })
	report.Uses = report.Uses[:min(len(report.Uses), maxReported)]
	return report
}

// observe records which account has responded. A request to an account that was not known
// had all requests of other accounts in its report; one to another account had not.
func (admissions *admissions) observe(account uint64) {
	admissions.reported = account != 0 && (admissions.account == 0 || admissions.account == account)
	admissions.account = account
}

// expire removes the requests that have left the window.
func (admissions *admissions) expire(now time.Time) {
	admissions.expiredAt = now
	maps.DeleteFunc(admissions.uses, func(_ Use, entry *admitted) bool { return now.Sub(entry.latest) > admissions.window })
}
