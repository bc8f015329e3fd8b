package mesh

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/membership"
)

// Reserve implements budget.Coordinators.
func (mesh *Mesh) Reserve(ctx context.Context, address string, request budget.ReservationRequest) (budget.ReservationResponse, error) {
	timeout := reserveTimeout
	if request.Unloaded {
		timeout = unloadedTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var response budget.ReservationResponse
	err := mesh.transport.Ask(ctx, address, methodReserve, request, &response)
	return response, err
}

// Settle implements budget.Coordinators.
func (mesh *Mesh) Settle(address string, settlement budget.Settlement) {
	mesh.settling.Add(1)
	ended := mesh.clock.Now()
	go func() {
		defer mesh.settling.Add(-1)
		var response emptyResponse
		for range settleAttempts {
			if settlement.Location != nil {
				location := *settlement.Location
				location.Age = max(0, mesh.clock.Since(ended))
				settlement.Location = &location
			}
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			err := mesh.transport.Ask(ctx, address, methodSettle, settlement, &response)
			cancel()
			if err == nil {
				return
			}
		}
		mesh.logger.WithFields(log.Fields{"program": settlement.Program, "address": address}).Info("reservation not settled; the coordinator counts it as spent")
	}()
}

// Settling returns the number of settlements that have not reached their coordinators.
func (mesh *Mesh) Settling() int { return int(mesh.settling.Load()) }

// Started implements budget.Coordinators. It asks the coordinators of the program's
// partition in the other data centres whether the program has started. One that does not
// respond in time may know it, so the program counts as started.
func (mesh *Mesh) Started(ctx context.Context, partition, program string) bool {
	ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	coordinators := mesh.budgetCoordinators(partition, program)
	responses := make(chan bool, len(coordinators))
	for _, coordinator := range coordinators {
		go func() {
			var response startedResponse
			if err := mesh.transport.Ask(ctx, coordinator.Address, methodStarted, startedRequest{program}, &response); err != nil {
				mesh.logger.WithError(err).WithFields(log.Fields{"peer": coordinator.Host, "program": program}).Info("coordinator did not say whether a program has started; admitting it")
				response.Started = true
			}
			responses <- response.Started
		}()
	}
	for range coordinators {
		if <-responses {
			return true
		}
	}
	return false
}

// budgetCoordinators returns the other hosts that may count the budget of a program:
// the coordinators of its partition in the other data centres and, while hosts of
// protocol 0 are alive, those that these hosts choose for the program.
func (mesh *Mesh) budgetCoordinators(partition, program string) map[string]Member {
	coordinators := make(map[string]Member)
	add := func(key, dataCentre string) {
		if coordinator, found := mesh.highestMember(key, dataCentre); found {
			coordinators[coordinator.Host] = coordinator
		}
	}
	for _, dataCentre := range mesh.otherDataCentres() {
		add(partition, dataCentre)
	}
	if slices.ContainsFunc(mesh.Reachable(), func(state membership.State) bool { return state.Protocol == 0 }) {
		for _, dataCentre := range append(mesh.otherDataCentres(), mesh.self.DataCentre) {
			add(program, dataCentre)
		}
	}
	return coordinators
}

// HolderState returns what is known of the host with an incarnation. Another incarnation of
// the host that is not later may be an earlier one, as known before the host restarted.
func (mesh *Mesh) HolderState(incarnation string) budget.HolderState {
	host, _, _ := strings.Cut(incarnation, "/")
	if host == mesh.self.Host {
		return budget.HolderEnded
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.ended[host] == incarnation {
		return budget.HolderEnded
	}
	member, known := mesh.view.Find(host)
	switch {
	case known && member.Incarnation != incarnation && startedBefore(incarnation, member.Incarnation):
		return budget.HolderEnded
	case known && member.Incarnation != incarnation:
		return budget.HolderUnclear
	case mesh.view.SilentFor(host, mesh.clock.Now()) > holderSilence:
		return budget.HolderSilent
	}
	return budget.HolderAlive
}

// startedBefore reports whether an incarnation of a host started before another one by
// the host's wall clock.
func startedBefore(incarnation, other string) bool {
	started, found := startMillis(incarnation)
	startedOther, foundOther := startMillis(other)
	return found && foundOther && started < startedOther
}

// startMillis returns the time in an incarnation, which is HOST/MILLISECONDS.RANDOM.
func startMillis(incarnation string) (millis int64, found bool) {
	_, start, _ := strings.Cut(incarnation, "/")
	start, _, _ = strings.Cut(start, ".")
	millis, err := strconv.ParseInt(start, 10, 64)
	return millis, err == nil
}
