package budget

import (
	"context"

	"github.com/godwitspread/godwitspread/internal/locality"
)

// Locations returns the locations of the latest turns of a program that this host
// coordinates.
func (reserver *Reserver) Locations(program string) []locality.Location {
	return reserver.locations.Recent(program)
}

// findLocations returns the locations of the latest turns of a program. If the turn that
// the claim's turn continues is not among them, it asks the coordinators in other data
// centres, while the tokens are reserved.
func (reserver *Reserver) findLocations(ctx context.Context, claim Claim) <-chan []locality.Location {
	result := make(chan []locality.Location, 1)
	known := reserver.locations.Recent(claim.Program)
	if len(claim.Prefixes) == 0 || locality.Includes(known, claim.Prefixes) {
		result <- known
		return result
	}
	go func() {
		others := reserver.askLocations(ctx, claim.Program)
		reserver.metrics.Count("prompt_locations_asked")
		if locality.Includes(others, claim.Prefixes) {
			reserver.metrics.Count("prompt_locations_found")
		}
		result <- append(known, others...)
	}()
	return result
}

// askLocations asks the coordinators in other data centres for the locations of the latest
// turns of a program.
func (reserver *Reserver) askLocations(ctx context.Context, program string) []locality.Location {
	return reserver.coordinators.Locations(ctx, reserver.allocator.entryLog.partitionName(program), program)
}
