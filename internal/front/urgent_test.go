package front

import (
	"testing"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/route"
)

// TestUrgent guards against ignoring the priority of a workspace, which overrides
// that of the route.
func TestUrgent(t *testing.T) {
	tests := []struct {
		name      string
		route     int
		workspace *route.Workspace
		urgent    bool
	}{
		{"urgent route without a workspace is urgent", 0, nil, true},
		{"workspace without a priority keeps that of the route", 1, &route.Workspace{}, false},
		{"urgent workspace overrides a less urgent route", 1, &route.Workspace{HasPriority: true, Priority: 0}, true},
		{"less urgent workspace overrides an urgent route", 0, &route.Workspace{HasPriority: true, Priority: 2}, false},
	}
	for _, test := range tests {
		is := is.New(t)
		exchange := &exchange{route: &route.Route{Priority: test.route}, workspace: test.workspace}
		is.Equal(exchange.urgent(), test.urgent) // test.name
	}
}
