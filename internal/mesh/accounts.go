package mesh

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/membership"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/store"
)

const (
	quotaTimeout     = 120 * time.Millisecond
	takeTimeout      = 50 * time.Millisecond // within quotaTimeout, for which the request waits that needs the account
	handoverDeadline = 200 * time.Millisecond
	// adoptProtocol is the membership protocol from which hosts take quota accounts over.
	adoptProtocol = 2
	// announceProtocol is the membership protocol from which hosts keep copies of quota
	// accounts, and tell successors what they were admitted for.
	announceProtocol = membership.CopiesProtocol
	announceTimeout  = 60 * time.Millisecond // within quotaTimeout, because requests may wait for it
)

// accountList is the request of methodAdoptAccounts.
type accountList struct {
	Accounts []*quota.AccountState `msgpack:"a"`
}

// RequestAdmission implements quota.Coordinators.
func (mesh *Mesh) RequestAdmission(ctx context.Context, address string, request quota.AdmissionRequest) (quota.AdmissionResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	var response quota.AdmissionResponse
	err := mesh.transport.Ask(ctx, address, methodQuota, request, &response)
	return response, err
}

// CoordinatedFor implements quota.Coordinators.
func (mesh *Mesh) CoordinatedFor(workspace, asking string) time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.view.PrecedingSilence(workspace, asking, mesh.hasHandedOver, mesh.clock.Now())
}

// hasHandedOver reports whether an incarnation has ended in a planned stop and its accounts
// have reached their next coordinators. The caller holds the mutex.
func (mesh *Mesh) hasHandedOver(member Member) bool {
	return member.Protocol >= adoptProtocol && mesh.ended[member.Host] == member.Incarnation && !mesh.endedWithAccounts[member.Host]
}

// Predecessor implements quota.Coordinators. A host that is stopping has coordinated its
// workspaces until now.
func (mesh *Mesh) Predecessor(workspace string) (address string, found bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.update()
	var best Member
	highest := uint64(0)
	for _, state := range mesh.reachable {
		if weight := membership.Weight(state.Host, workspace); weight > highest {
			best, highest = state.Member, weight
		}
	}
	return best.Address, best.Protocol >= adoptProtocol
}

// Successor implements quota.Coordinators.
func (mesh *Mesh) Successor(workspace string) (address string, found bool) {
	member, found := mesh.highestMember(workspace, "")
	return member.Address, found && member.Protocol >= adoptProtocol
}

// CanAdopt implements quota.Coordinators.
func (mesh *Mesh) CanAdopt(address string) bool {
	for _, state := range mesh.Reachable() {
		if state.Address == address {
			return state.Protocol >= adoptProtocol
		}
	}
	return false
}

// TakeAccount implements quota.Coordinators.
func (mesh *Mesh) TakeAccount(ctx context.Context, address, workspace string) (quota.TakeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var response quota.TakeResponse
	err := mesh.transport.Ask(ctx, address, methodTakeAccount, quota.TakeRequest{Workspace: workspace, Host: mesh.self.Host, Address: mesh.self.Address}, &response)
	return response, err
}

// Backup implements quota.Coordinators.
func (mesh *Mesh) Backup(workspace string, avoided []string) (address string, found bool) {
	best, remote, highest := "", false, uint64(0)
	for _, state := range mesh.Reachable() {
		if state.Protocol < announceProtocol || state.Stopping || slices.Contains(avoided, state.Address) {
			continue
		}
		elsewhere := state.DataCentre != mesh.self.DataCentre
		if weight := membership.Weight(state.Host, workspace); elsewhere && !remote || elsewhere == remote && weight > highest {
			best, remote, highest = state.Address, elsewhere, weight
		}
	}
	return best, best != ""
}

// RemoteBackup implements quota.Coordinators.
func (mesh *Mesh) RemoteBackup(workspace string) (address string, found bool) {
	highest := uint64(0)
	for _, state := range mesh.Reachable() {
		if state.Protocol < announceProtocol || state.DataCentre == mesh.self.DataCentre {
			continue
		}
		if weight := membership.Weight(state.Host, workspace); weight > highest {
			address, found, highest = state.Address, true, weight
		}
	}
	return address, found
}

// announcementList is the request of methodAnnounce.
type announcementList struct {
	Address       string               `msgpack:"h"` // of the coordinator
	Announcements []quota.Announcement `msgpack:"a"`
}

// acknowledgementList is the response to methodAnnounce.
type acknowledgementList struct {
	Acknowledgements []quota.Acknowledgement `msgpack:"a"`
}

// Announce implements quota.Coordinators.
func (mesh *Mesh) Announce(ctx context.Context, address string, messages []quota.Announcement) ([]quota.Acknowledgement, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var response acknowledgementList
	err := mesh.transport.Ask(ctx, address, methodAnnounce, announcementList{mesh.self.Address, messages}, &response)
	return response.Acknowledgements, err
}

// SilentFor implements quota.Coordinators. A host that is not remembered has been silent
// for longer than anything that matters.
func (mesh *Mesh) SilentFor(address string) time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, member := range mesh.view.Known() {
		if member.Address == address {
			return mesh.view.SilentFor(member.Host, mesh.clock.Now())
		}
	}
	return math.MaxInt64
}

// CopiesEnabled implements quota.Coordinators.
func (mesh *Mesh) CopiesEnabled() bool { return mesh.self.Protocol >= announceProtocol }

// Older implements quota.Coordinators.
func (mesh *Mesh) Older() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return slices.ContainsFunc(mesh.view.Known(), func(member Member) bool { return member.Protocol < announceProtocol })
}

// HandOver implements quota.Coordinators.
func (mesh *Mesh) HandOver(ctx context.Context, address string, states []*quota.AccountState) error {
	ctx, cancel := context.WithTimeout(ctx, handoverDeadline)
	defer cancel()
	if err := mesh.transport.Connect(ctx, address); err != nil {
		return fmt.Errorf("connect to %q: %w: %w", address, err, quota.ErrNotSent)
	}
	var response emptyResponse
	err := mesh.transport.Ask(ctx, address, methodAdoptAccounts, accountList{states}, &response)
	if err != nil && mesh.leftFor(0) {
		mesh.accountsLost.Store(true)
	}
	return err
}

// observeListing finds out from the first listing of the entries whether an earlier
// incarnation of this host was running when it started.
func (mesh *Mesh) observeListing(records []store.Record) {
	first := true
	for _, record := range records {
		var decoded entry
		if record.Key != mesh.self.Host || record.IsTombstone() {
			continue
		}
		err := codec.Unmarshal(record.Value, &decoded)
		first = err == nil && decoded.Ended && !decoded.AccountsLost
	}
	mesh.mutex.Lock()
	mesh.first = first
	mesh.mutex.Unlock()
	close(mesh.listed)
}

// Listed returns a channel that is closed when the entries of the hosts have been listed.
// Before that, a new entry of this host would hide the previous one.
func (mesh *Mesh) Listed() <-chan struct{} { return mesh.listed }

// reportList is the request of methodObserveReports.
type reportList struct {
	Reports []quota.WorkspaceReport `msgpack:"r"`
}

// PushReports implements quota.Coordinators.
func (mesh *Mesh) PushReports(ctx context.Context, address string, reports []quota.WorkspaceReport) error {
	ctx, cancel := context.WithTimeout(ctx, handoverDeadline)
	defer cancel()
	var response emptyResponse
	return mesh.transport.Ask(ctx, address, methodObserveReports, reportList{reports}, &response)
}
