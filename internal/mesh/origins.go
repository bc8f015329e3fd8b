package mesh

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/membership"
	"github.com/godwitspread/godwitspread/internal/origin"
)

const (
	originTimeout     = 200 * time.Millisecond // a live host responds within a few milliseconds
	originPushHosts   = 3                      // hosts tried for one copy of a record
	maxVersionSources = 16                     // hosts asked for the versions of a service
)

// PushOrigin implements origin.Peers. It sends a record to the coordinators of its
// key, of this data centre and of another one, so that the record outlives this host
// and each data centre finds it without the other.
func (mesh *Mesh) PushOrigin(record origin.Record) {
	local, remote := mesh.originHolders(record.Key)
	for _, holder := range []Member{local, remote} {
		if holder.Host != "" {
			go mesh.pushOrigin(holder, record)
		}
	}
}

// pushOrigin sends a record to a host or, if it does not respond, to another one.
func (mesh *Mesh) pushOrigin(holder Member, record origin.Record) {
	tried := map[string]bool{}
	for range originPushHosts {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		var response emptyResponse
		err := mesh.transport.Ask(ctx, holder.Address, methodPushOrigin, record, &response)
		cancel()
		if err == nil {
			return
		}
		mesh.logger.WithError(err).WithField("peer", holder.Host).Debug("sending the origin of a stream to another host failed")
		tried[holder.Host] = true
		next := Member{}
		for _, state := range mesh.Reachable() {
			if !tried[state.Host] && !state.Stopping {
				next = state.Member
				break
			}
		}
		if next.Host == "" {
			return
		}
		holder = next
	}
}

// originHolders returns the other hosts that keep copies of a record: one of this
// data centre and one of the other data centres, if any is reachable.
func (mesh *Mesh) originHolders(key origin.Key) (local, remote Member) {
	local, _ = mesh.highestMember(key.Attempt, mesh.self.DataCentre)
	highest := uint64(0)
	for _, dataCentre := range mesh.otherDataCentres() {
		member, found := mesh.highestMember(key.Attempt, dataCentre)
		if weight := membership.Weight(member.Host, key.Attempt); found && weight > highest {
			remote, highest = member, weight
		}
	}
	return local, remote
}

// FindOrigin implements origin.Peers. It asks the hosts that should have a copy
// first, then all others: membership may have changed since the stream began.
func (mesh *Mesh) FindOrigin(ctx context.Context, key origin.Key) (origin.Origin, bool) {
	first := make(map[string]bool)
	var holders, others []Member
	for _, dataCentre := range append(mesh.otherDataCentres(), mesh.self.DataCentre) {
		if member, found := mesh.highestMember(key.Attempt, dataCentre); found {
			holders = append(holders, member)
			first[member.Host] = true
		}
	}
	for _, member := range mesh.otherMembers() {
		if !first[member.Host] {
			others = append(others, member)
		}
	}
	known := func(response originResponse) bool { return response.Known }
	holderCtx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	response, found := askAny(holderCtx, mesh, holders, methodFindOrigin, key, known)
	cancel()
	if !found {
		otherCtx, cancel := context.WithTimeout(ctx, originTimeout)
		defer cancel()
		response, found = askAny(otherCtx, mesh, append(others, holders...), methodFindOrigin, key, known)
	}
	return response.Origin, found
}

// FindVersions implements origin.Peers.
func (mesh *Mesh) FindVersions(ctx context.Context, request origin.VersionsRequest) ([]string, bool) {
	var members []Member
	for _, state := range mesh.Reachable() {
		if len(members) < maxVersionSources {
			members = append(members, state.Member)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	response, found := askAny(ctx, mesh, members, methodVersions, request, func(response origin.VersionsResponse) bool { return response.Complete })
	return response.Versions, found
}

// otherMembers returns all known hosts but this one, also those that have not been
// seen yet.
func (mesh *Mesh) otherMembers() []Member {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.view.Known()
}

// askAny calls a method on several hosts at once and returns the first response that
// is accepted.
func askAny[Response any](ctx context.Context, mesh *Mesh, members []Member, method string, argument any, accept func(Response) bool) (Response, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan Response, len(members))
	for _, member := range members {
		go func() {
			var response Response
			if err := mesh.transport.Ask(ctx, member.Address, method, argument, &response); err != nil {
				mesh.logger.WithError(err).WithField("peer", member.Host).Debug("call of another host failed")
				var none Response
				response = none
			}
			responses <- response
		}()
	}
	for range members {
		if response := <-responses; accept(response) {
			return response, true
		}
	}
	var none Response
	return none, false
}
