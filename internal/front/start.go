package front

import (
	"fmt"
	"time"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/overload"
	"github.com/godwitspread/godwitspread/internal/placement"
)

// start is the decision about a turn that has no previous one, with which a program or a
// sub-agent begins. The coordinator of the budget tells them apart.
type start struct {
	controller *overload.Controller // nil for turns that continue another one, and for services without engines
	program    overload.Program
	load       overload.Load
	targets    placement.ServiceLoad
	decision   overload.Decision
}

// decideStart decides whether a program may begin with the turn.
func (exchange *exchange) decideStart() *start {
	handler := exchange.handler
	if exchange.request.PreviousTurn != "" {
		return &start{decision: overload.Decision{Admitted: true}}
	}
	now := handler.clock.Now()
	targets, overloaded := handler.registry.OverloadedFor(exchange.placementRequest(), exchange.urgent(), now)
	start := &start{targets: targets, program: overload.Program{Workspace: exchange.workspaceName(), Urgent: exchange.urgent(), TimeLeft: exchange.request.ProgramTimeLeft}}
	start.load = overload.Load{InFlight: targets.InFlight, Slots: targets.Slots, Overloaded: overloaded, Hosts: handler.liveHosts()}
	if !exchange.usesEngine() {
		start.decision = overload.Decision{Admitted: !overloaded, RetryAfter: overloadRetryDelay + handler.jitter(overloadRetryDelay)}
		return start
	}
	start.controller = handler.starts.Service(exchange.service)
	start.decision = start.controller.Decide(start.program, start.load, now)
	return start
}

// usesEngine reports whether the targets of the request's service are model engines.
func (exchange *exchange) usesEngine() bool {
	service := exchange.table.Service(exchange.service)
	return service != nil && service.Engine != nil
}

// reserved counts the start of a sub-agent, whose program was already running when the
// decision refused new ones.
func (start *start) reserved(now time.Time) {
	if start.controller != nil && !start.decision.Admitted {
		start.controller.Start(start.program, start.load, now)
	}
}

// failed withdraws a start that was admitted, but whose tokens could not be reserved.
func (start *start) failed(now time.Time) {
	if start.controller != nil && start.decision.Admitted {
		start.controller.Withdraw(start.program, now)
	}
}

// countRefusal counts a program that is refused although the load alone would permit it.
func (start *start) countRefusal(metrics *metric.Metrics) {
	if start.controller != nil && !start.load.Overloaded {
		metrics.Count("programs_over_capacity")
	}
}

// cause returns the inputs of a decision against a program.
func (start *start) cause(service string) error {
	decision := start.decision
	if start.controller == nil {
		return fmt.Errorf("service %q has %d requests in flight on %d slots, and %d targets at their request limits", service, start.targets.InFlight, start.targets.Slots, start.targets.Paused)
	}
	return fmt.Errorf("service %q has %d requests in flight on %d slots, and %d targets at their request limits; this host of %d starts %.2f programs and sub-agents a second and has %.2f starts left",
		service, start.targets.InFlight, start.targets.Slots, start.targets.Paused, start.load.Hosts, decision.Rate, decision.Tokens)
}

// recordTurn tells the decision about new programs how long a turn of a program occupied
// an engine.
func (exchange *exchange) recordTurn(duration time.Duration) {
	handler := exchange.handler
	if exchange.reservation == nil || !exchange.usesEngine() {
		return
	}
	now := handler.clock.Now()
	targets, _ := handler.registry.OverloadedFor(exchange.placementRequest(), false, now)
	handler.starts.Service(exchange.service).Done(duration, overload.Load{InFlight: targets.InFlight, Slots: targets.Slots, Hosts: 1}, now)
}
