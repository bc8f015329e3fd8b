package membership

import (
	"testing"
	"time"

	"github.com/godwitspread/godwitspread/internal/codec"
)

// FuzzMessages guards against messages of another host that make this one panic, or
// that make it forget its own name.
func FuzzMessages(f *testing.F) {
	other := Member{Host: "b", Incarnation: "b/1", Address: "b:1", DataCentre: "y", Protocol: Protocol}
	add := func(message any) {
		encoded, err := codec.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	add(Report{State: State{Member: other}, Summary: Summary{Load: map[string]int{"t": 1}, CrashCounts: map[string]map[uint64]int{"": {7: 1}}}})
	add(ReportResponse{Member: other, Sequence: 3, Complete: true, Alive: []State{{Member: other}}, Lost: []string{"c"}, Count: 1})
	add(Digest{Member: other, Sequence: 3, Complete: true, Group: []State{{Member: other}}, Introduced: []Member{other}, Peers: []Member{other}})
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1000, 0)
		view := NewView(Member{Host: "a", Incarnation: "a/1", Address: "a:1", DataCentre: "x"}, now)
		var report Report
		if codec.Unmarshal(data, &report) == nil {
			view.ServeReport(report, Summary{}, now)
		}
		var response ReportResponse
		if codec.Unmarshal(data, &response) == nil {
			view.ApplyReport(response, now)
		}
		var digest Digest
		if codec.Unmarshal(data, &digest) == nil {
			view.ApplyDigest(digest, now)
			view.NewDigest(digest.Member.Host, Summary{}, now)
		}
		view.Next(now)
		for _, state := range view.Alive(now) {
			if state.Host == "a" {
				t.Fatalf("host %q takes itself for another one", state.Host)
			}
		}
		view.Remote(now)
	})
}
