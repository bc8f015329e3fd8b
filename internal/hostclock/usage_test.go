package hostclock_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// wallClockUses are the reviewed uses of the wall clock by file: calls that return Unix time
// or make a time without a reading of the monotonic clock. docs/design/wall-clock.md has the
// reason of each. The number guards against further uses in the same file.
var wallClockUses = map[string]int{
	"internal/bench/policy_fleet.go":        1,
	"internal/bench/rate_fleet.go":          1,
	"internal/bench/slopes_measurements.go": 11,
	"internal/budget/entrylog.go":           1,
	"internal/budget/expiry.go":             1,
	"internal/budget/ledger.go":             1,
	"internal/experiment/event_loop.go":     1,
	"internal/gateway/gateway.go":           1,
	"internal/gateway/wall_clock.go":        2,
	"internal/history/cache.go":             1,
	"internal/history/histories.go":         1,
	"internal/hostclock/clocktest/clock.go": 3,
	"internal/logline/handler.go":           1,
	"internal/membership/view.go":           1,
	"internal/origin/archive.go":            2,
	"internal/outbound/pool.go":             1,
	"platform/standin/target.go":            1,
}

// realTimeUses are the reviewed packages and files that read the clock of the system instead
// of the injected one: for deadlines of sockets, which are in real time, and in programs that
// measure.
var realTimeUses = []string{
	"internal/bench/", "platform/standin/", "internal/standin/", "internal/hostclock/",
	"internal/api/call.go", "internal/front/body.go", "internal/front/handler.go", "internal/front/rejection.go",
	"internal/gateway/caller_connection.go", "internal/gateway/callers.go", "internal/gateway/explain.go", "internal/outbound/pool.go",
	"internal/peer/calls.go", "internal/peer/connection.go", "internal/peer/hold.go",
}

// TestUsesOfTheWallClock guards against further leases, ages and expiries that follow jumps of
// the wall clock, and against code whose tests cannot set the time.
func TestUsesOfTheWallClock(t *testing.T) {
	is := is.New(t)
	found := make(map[string]int)
	for _, directory := range []string{"cmd", "internal", "pkg", "platform"} {
		is.NoErr(filepath.WalkDir(filepath.Join("../..", directory), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return fmt.Errorf("parse %s: %w", path, err)
			}
			name := strings.TrimPrefix(filepath.ToSlash(path), "../../")
			ast.Inspect(file, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok {
					return true
				}
				if losesMonotonicReading(call) {
					found[name]++
				}
				if readsSystemClock(call) && !slices.ContainsFunc(realTimeUses, func(allowed string) bool { return strings.HasPrefix(name, allowed) }) {
					t.Errorf("%s reads the clock of the system, expected the injected one", files.Position(call.Pos()))
				}
				return true
			})
			return nil
		}))
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		if found[name] != wallClockUses[name] {
			t.Errorf("%s uses the wall clock %d times, expected %d; see docs/design/wall-clock.md", name, found[name], wallClockUses[name])
		}
	}
	for name := range wallClockUses {
		if found[name] == 0 {
			t.Errorf("%s does not use the wall clock any more; remove it from the list", name)
		}
	}
}

// losesMonotonicReading reports whether a call returns Unix time, or a time without a reading
// of the monotonic clock.
func losesMonotonicReading(call *ast.CallExpr) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	switch selector.Sel.Name {
	case "Unix", "UnixMilli", "UnixMicro", "UnixNano":
		return true
	case "Date", "Parse", "ParseInLocation":
		return isPackage(selector, "time")
	case "Round", "Truncate":
		literal, ok := call.Args[0].(*ast.BasicLit)
		return len(call.Args) == 1 && ok && literal.Value == "0"
	}
	return false
}

func readsSystemClock(call *ast.CallExpr) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	return ok && isPackage(selector, "time") && slices.Contains([]string{"Now", "Since", "Until"}, selector.Sel.Name)
}

func isPackage(selector *ast.SelectorExpr, name string) bool {
	identifier, ok := selector.X.(*ast.Ident)
	return ok && identifier.Name == name
}
