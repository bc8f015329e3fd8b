package front

import "github.com/godwitspread/godwitspread/internal/placement"

// countSpillover counts a request that is sent to another data centre.
func (exchange *exchange) countSpillover(target placement.Target) {
	bytes := exchange.request.Body.Size()
	if reason := exchange.handler.registry.RecordSend(target, bytes); reason != "" {
		exchange.handler.metrics.CountSpillover(target.Service, string(reason), bytes)
	}
}
