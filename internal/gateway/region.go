package gateway

import (
	"context"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/route"
)

// confinedTurns returns the constraints of the turns that are kept by a configuration. Some
// may be the same. Turns without a region that is home of both their route and their
// workspace are never run.
func confinedTurns(table *route.Table, regions *region.Regions) []*region.Constraint {
	var constraints []*region.Constraint
	for _, homes := range table.HomesOfTurns() {
		if constraint := regions.Constrain(homes[0], homes[1]); len(constraint.Homes()) > 0 {
			constraints = append(constraints, constraint)
		}
	}
	return constraints
}

// logUnknownRegions logs each home region in which no data centre is, once until a version
// of the configuration no longer names it.
func logUnknownRegions(table *route.Table, regions *region.Regions, logged map[string]bool, logger log.Interface) {
	named := make(map[string]bool)
	for _, name := range table.HomeRegions() {
		if regions.Has(name) {
			continue
		}
		named[name] = true
		if !logged[name] {
			logged[name] = true
			logger.WithFields(log.Fields{"region": name, "version": table.Version()}).Warn("home region has no data centre; no target can run the requests that are confined to it")
		}
	}
	for name := range logged {
		if !named[name] {
			delete(logged, name)
		}
	}
}

// storedSegment returns the stored turns of a chain to a host outside their home regions or,
// if they have none, to one that leaves reading their partition to this host. The regions of the asking host do not matter here.
func (gateway *Gateway) storedSegment(ctx context.Context, homes []string, workspace, id string) ([]history.Turn, error) {
	if len(homes) == 0 {
		gateway.metrics.Count("kept_turns_for_hosts")
		return gateway.histories.KeptChain(ctx, workspace, id)
	}
	gateway.metrics.Count("stored_turns_for_hosts")
	return gateway.histories.StoredSegment(region.NewContext(ctx, gateway.regions.Constrain(homes)), workspace, id)
}
