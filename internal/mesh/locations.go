package mesh

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/locality"
)

// locationTimeout limits the search for the target that has cached a prompt: several
// round trips between data centres. Reading a prompt again costs about as much.
const locationTimeout = 10 * time.Millisecond

// locationList is the response to methodLocations.
type locationList struct {
	Locations []locality.Location `msgpack:"l,omitempty"`
}

// Locations implements budget.Coordinators. It returns what the coordinators in other data
// centres that respond in time know.
func (mesh *Mesh) Locations(ctx context.Context, partition, program string) []locality.Location {
	ctx, cancel := context.WithTimeout(ctx, locationTimeout)
	defer cancel()
	coordinators := mesh.budgetCoordinators(partition, program)
	responses := make(chan []locality.Location, len(coordinators))
	for _, coordinator := range coordinators {
		go func() {
			var response locationList
			if err := mesh.transport.Ask(ctx, coordinator.Address, methodLocations, startedRequest{program}, &response); err != nil {
				response.Locations = nil // an older build, or out of reach: the prompt is read again
			}
			responses <- response.Locations
		}()
	}
	var locations []locality.Location
	for range coordinators {
		locations = append(locations, <-responses...)
	}
	return locations
}
