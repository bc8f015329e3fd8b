package front

import (
	"testing"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/route"
)

func TestUrgent(t *testing.T) {
	tests := []struct {
		name      string
		route     int
		workspace *route.Workspace
		urgent    bool
	}{
		{"route decides", 0, nil, true},
		{"less urgent route", 1, &route.Workspace{}, false},
		{"workspace goes before its route", 1, &route.Workspace{HasPriority: true, Priority: 0}, true},
		{"less urgent workspace", 0, &route.Workspace{HasPriority: true, Priority: 2}, false},
	}
	for _, test := range tests {
		is := is.New(t)
		visit := &visit{route: &route.Route{Priority: test.route}, workspace: test.workspace}
		is.Equal(visit.urgent(), test.urgent) // test.name
	}
}
