package quota

import (
	"context"
	"time"
)

const (
	maxPushed      = 32   // workspaces in one message
	maxEarlyReport = 4096 // reports that are kept for accounts that do not exist yet
)

// WorkspaceReport is what a host was admitted for in the window of a workspace.
type WorkspaceReport struct {
	Workspace string  `msgpack:"w"`
	Report    *Report `msgpack:"r"`
}

// earlyReport is a report for an account that does not exist yet.
type earlyReport struct {
	report     *Report
	receivedAt time.Time
}

// PushReports tells the successors of lost coordinators what this host was admitted for. In
// a large fleet a host sends few requests of a workspace in the length of a window, so that
// a new coordinator would learn of most admissions too late if it waited for requests.
func (limiter *Limiter) PushReports() {
	if !limiter.coordinators.CopiesEnabled() {
		return
	}
	for address, reports := range limiter.unreported() {
		for start := 0; start < len(reports); start += maxPushed {
			part := reports[start:min(start+maxPushed, len(reports))]
			if err := limiter.coordinators.PushReports(context.Background(), address, part); err != nil {
				limiter.metrics.CountRetry("quota_report_lost")
				continue
			}
			limiter.metrics.Count("quota_reports_pushed")
			limiter.markPushed(address, part)
		}
	}
}

// unreported returns the reports that coordinators need, by their addresses.
func (limiter *Limiter) unreported() map[string][]WorkspaceReport {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	reports := make(map[string][]WorkspaceReport)
	for workspace, own := range limiter.admitted {
		address, self := limiter.coordinators.Coordinator(workspace)
		lost := own.keeper != "" && own.keeper != address && !limiter.coordinators.CanAdopt(own.keeper)
		if !lost || own.pushedTo == address || !self && !limiter.coordinators.CanAdopt(address) {
			continue
		}
		report := own.report(limiter.id, address, own.window, now)
		switch {
		case report == nil || len(report.Uses) == 0:
		case self:
			own.pushedTo = address
			limiter.observeReport(workspace, report, now)
		default:
			reports[address] = append(reports[address], WorkspaceReport{Workspace: workspace, Report: report})
		}
	}
	return reports
}

func (limiter *Limiter) markPushed(address string, reports []WorkspaceReport) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for _, pushed := range reports {
		if own, ok := limiter.admitted[pushed.Workspace]; ok && own.coordinator == address {
			own.pushedTo = address
		}
	}
}

// ObserveReports records what another host was admitted for.
func (limiter *Limiter) ObserveReports(reports []WorkspaceReport) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	for _, received := range reports {
		if received.Report == nil || len(received.Report.Uses) > maxReported {
			limiter.metrics.Count("malformed_quota_reports")
			continue
		}
		limiter.observeReport(received.Workspace, received.Report, now)
	}
}

// observeReport adds a report to the account of a workspace, or keeps it until there is
// one. The caller must hold the mutex.
func (limiter *Limiter) observeReport(workspace string, report *Report, now time.Time) {
	if account, kept := limiter.accounts[workspace]; kept {
		account.window.advance(now, account.window.capacity, account.window.share)
		account.observeReport(report, now)
		return
	}
	if limiter.earlyReports >= maxEarlyReport {
		limiter.metrics.Count("quota_reports_dropped")
		return
	}
	limiter.earlyReports++
	limiter.early[workspace] = append(limiter.early[workspace], earlyReport{report, now})
}

// applyEarly adds the reports that came before an account began. The caller must hold the
// mutex.
func (limiter *Limiter) applyEarly(workspace string, account *Account, now time.Time) {
	for _, early := range limiter.early[workspace] {
		account.observeReport(early.report.aged(now.Sub(early.receivedAt)), now)
	}
}

// removeEarly forgets the reports that have been added to the account of a workspace. The
// caller must hold the mutex.
func (limiter *Limiter) removeEarly(workspace string) {
	limiter.earlyReports -= len(limiter.early[workspace])
	delete(limiter.early, workspace)
}

// expireEarly forgets reports of requests that have left the window. The caller must hold
// the mutex.
func (limiter *Limiter) expireEarly(now time.Time) {
	for workspace, reports := range limiter.early {
		if now.Sub(reports[len(reports)-1].receivedAt) > maxEarlyAge {
			limiter.earlyReports -= len(reports)
			delete(limiter.early, workspace)
		}
	}
}

// maxEarlyAge is how long a report is kept without an account, at least as long as the
// windows of deployments.
const maxEarlyAge = 10 * time.Second

// aged returns the report as of a later time.
func (report *Report) aged(by time.Duration) *Report {
	aged := &Report{Reporter: report.Reporter, Uses: make([]Reported, len(report.Uses))}
	for index, use := range report.Uses {
		use.Age += by
		aged.Uses[index] = use
	}
	return aged
}
