package quota

import (
	"context"
	"slices"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
)

// maxAnnounced is the number of accounts in one message to a backup.
const maxAnnounced = 64

// planned is an announcement on its way to a backup.
type planned struct {
	message  Announcement
	account  *Account
	recorded float64 // requests that the account had recorded
}

// Announce tells the backups of the accounts that this host coordinates what these have
// granted. It sends at most one message to each host in an interval.
func (limiter *Limiter) Announce() {
	if !limiter.coordinators.CopiesEnabled() {
		return
	}
	limiter.mutex.Lock()
	now := limiter.clock.Now()
	if now.Sub(limiter.announcedAt) < announceInterval {
		limiter.mutex.Unlock()
		return
	}
	limiter.announcedAt = now
	var due []string
	for workspace, account := range limiter.accounts {
		if account.announcementDue(now) {
			due = append(due, workspace)
		}
	}
	outdated := limiter.outdated
	limiter.outdated = make(map[string][]Announcement)
	limiter.mutex.Unlock()
	for address, messages := range outdated {
		if _, err := limiter.coordinators.Announce(context.Background(), address, messages); err != nil {
			limiter.metrics.CountRetry("quota_backup_lost")
		}
	}
	slices.Sort(due)
	limiter.announce(due)
}

// outdate makes the backups of an account that moves forget their copies. The next holder
// does that as well, unless it is of an older build. The caller must hold the mutex.
func (limiter *Limiter) outdate(workspace string, account *Account) {
	if !limiter.coordinators.CopiesEnabled() || !limiter.coordinators.Older() {
		return
	}
	for _, address := range account.cover.addresses() {
		limiter.outdated[address] = append(limiter.outdated[address], Announcement{Workspace: workspace, Account: account.id, Release: true})
	}
}

// cover announces an account that has used up its step, or waits for the announcement that
// is in flight.
func (limiter *Limiter) cover(workspace string) {
	limiter.mutex.Lock()
	var sending chan struct{}
	if account, kept := limiter.accounts[workspace]; kept {
		sending = account.cover.sending
	}
	limiter.mutex.Unlock()
	if sending != nil {
		<-sending
		return
	}
	limiter.metrics.Count("quota_announcements_awaited")
	limiter.announce([]string{workspace})
}

// announce sends the announcements of workspaces. A backup that lacks the copy that an
// announcement refers to gets a complete one.
func (limiter *Limiter) announce(workspaces []string) {
	const attempts = 2
	for range attempts {
		byAddress, sending := limiter.planAnnouncements(workspaces)
		var group errgroup.Group
		group.SetLimit(parallel)
		for address, list := range byAddress {
			group.Go(func() error {
				for start := 0; start < len(list); start += maxAnnounced {
					limiter.send(address, list[start:min(start+maxAnnounced, len(list))])
				}
				return nil
			})
		}
		_ = group.Wait() // announcements return no errors
		if workspaces = limiter.endAnnouncements(sending); len(workspaces) == 0 {
			return
		}
	}
}

// planAnnouncements returns the announcements of workspaces by the address of the backup,
// and the accounts that are announced.
func (limiter *Limiter) planAnnouncements(workspaces []string) (map[string][]planned, map[string]*Account) {
	reachable, _ := limiter.coordinators.ReachableShare()
	isolated := reachable < 1 && !limiter.coordinators.Older()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	byAddress, sending := make(map[string][]planned), make(map[string]*Account)
	for _, workspace := range workspaces {
		account, kept := limiter.accounts[workspace]
		if !kept || account.cover.sending != nil {
			continue
		}
		list := limiter.plan(workspace, account, isolated)
		if len(list) == 0 {
			continue
		}
		account.cover.sending = make(chan struct{})
		sending[workspace] = account
		for address, one := range list {
			byAddress[address] = append(byAddress[address], one)
		}
	}
	return byAddress, sending
}

// plan returns the announcements of an account: to its backup, and to earlier ones, which
// forget their copies. isolated is set if hosts are lost, one of which may take the account
// over. The caller must hold the mutex.
func (limiter *Limiter) plan(workspace string, account *Account, isolated bool) map[string]planned {
	now := limiter.clock.Now()
	cover, bound := &account.cover, &account.window.bound
	cover.checkedAt = now
	avoided := cover.avoided(now)
	address, found := limiter.coordinators.Backup(workspace, avoided)
	if !found {
		account.grantAlone(isolated || len(avoided) > 0)
		return nil
	}
	// Of this host and a backup that it has lost for that long, at least one has lost sight of
	// most hosts, and restricts what it grants (Account.isolate).
	cover.former = slices.DeleteFunc(cover.former, func(former string) bool { return limiter.coordinators.SilentFor(former) >= lossTime })
	changed := address != cover.address
	cover.choose(address)
	list := make(map[string]planned)
	for _, former := range cover.former {
		list[former] = planned{Announcement{Workspace: workspace, Account: account.id, Release: true}, account, 0}
	}
	if len(cover.former) == 0 && !changed && cover.sequence > 0 && !bound.accruing && bound.remaining() >= bound.step/2 {
		return list
	}
	bound.close(account.limit.capacity(), account.limit.Window, bound.limit)
	list[address] = planned{account.announcement(workspace, now), account, bound.recorded}
	return list
}

// grantAlone makes an account grant without a backup: without a burst if a lost host may take
// it over, and else, with no other host or only older ones, without a bound.
func (account *Account) grantAlone(lost bool) {
	bound := &account.window.bound
	if !lost {
		*bound = unbounded()
		return
	}
	bound.close(account.limit.capacity(), account.limit.Window, bound.limit)
	account.accrue()
}

// send sends announcements to one host, and applies its response.
func (limiter *Limiter) send(address string, list []planned) {
	messages := make([]Announcement, len(list))
	for index, one := range list {
		messages[index] = one.message
	}
	limiter.metrics.Count("quota_announcements")
	responses, err := limiter.coordinators.Announce(context.Background(), address, messages)
	byAccount := make(map[uint64]Acknowledgement)
	for _, response := range responses {
		byAccount[response.Account] = response
	}
	taken, uncovered := make(map[string]string), 0
	limiter.mutex.Lock()
	now := limiter.clock.Now()
	for _, one := range list {
		response, acknowledged := byAccount[one.message.Account]
		cover := &one.account.cover
		switch {
		case err != nil || !acknowledged:
			cover.fail(address, now)
			one.account.accrue()
			uncovered++
		case response.Taken:
			taken[one.message.Workspace] = response.Holder
		case one.message.Release:
			cover.former = slices.DeleteFunc(cover.former, func(former string) bool { return former == address })
		case response.Unknown && !one.message.Partial:
			cover.fail(address, now) // it has no room
			one.account.accrue()
		case response.Unknown:
			cover.sequence = 0
		case cover.address == address:
			one.account.acknowledge(one.message, one.recorded)
			if response.Earlier != nil && response.Earlier.valid() {
				one.account.Merge(response.Earlier, now)
			}
		}
	}
	limiter.mutex.Unlock()
	if uncovered > 0 {
		limiter.metrics.CountRetry("quota_backup_lost")
		limiter.logger.WithError(err).WithFields(log.Fields{"accounts": uncovered, "address": address}).Info("backup of quota accounts does not respond; they grant without a burst")
	}
	for workspace, holder := range taken {
		if holder == "" {
			holder = address
		}
		limiter.yield(workspace, list, holder)
	}
}

// endAnnouncements wakes the requests that wait, and returns the workspaces whose backup
// needs a complete announcement.
func (limiter *Limiter) endAnnouncements(sending map[string]*Account) (incomplete []string) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for workspace, account := range sending {
		cover := &account.cover
		close(cover.sending)
		cover.sending = nil
		if cover.sequence == 0 {
			incomplete = append(incomplete, workspace)
			continue
		}
		if bound := &account.window.bound; bound.accruing && len(cover.former) == 0 {
			// The last earlier backup has forgotten its copy after the present one responded.
			bound.accruing, bound.limit = false, max(bound.limit, bound.recorded)
		}
	}
	slices.Sort(incomplete)
	return incomplete
}

// yield gives up an account that another host has taken over from the backup: this one was
// suspended or cut off. It asks for the account of the other host and adds what this one
// has granted meanwhile.
func (limiter *Limiter) yield(workspace string, list []planned, holder string) {
	index := slices.IndexFunc(list, func(one planned) bool { return one.message.Workspace == workspace })
	account := list[index].account
	limiter.mutex.Lock()
	if _, moving := limiter.moves.pending[workspace]; moving || limiter.accounts[workspace] != account {
		limiter.mutex.Unlock()
		return
	}
	delete(limiter.accounts, workspace)
	limiter.moves.pending[workspace] = make(chan struct{})
	state := account.State(workspace, limiter.clock.Now())
	limiter.mutex.Unlock()
	response, _ := limiter.askFor(workspace, holder)
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	if response.State != nil {
		limiter.adopt(response.State)
	}
	successor, kept := limiter.accounts[workspace]
	if kept {
		successor.Merge(state, now)
	} else {
		limiter.moves.pass(workspace, holder, now)
	}
	limiter.moves.end(workspace)
	limiter.metrics.Count("quota_accounts_yielded")
	limiter.logger.WithFields(log.Fields{"workspace": workspace, "account": account.id, "address": holder, "merged": kept}).Info("quota account was taken over by another host")
}
